#include <algorithm>
#include <utility>

#include "worker/worker_session.h"

namespace geranium {
namespace {

/// Tolerance for rounding in sums of CPU shares.
constexpr double kCpuEpsilon = 1e-6;
constexpr int kDonePercent = 100;
constexpr char kNoMemory[] = "the agent has no memory for another order";
/// Memory of an order besides its payload, in all tables.
constexpr std::size_t kOrderBytes = 2048;
/// A stop is retried after this long if all calls are in use.
constexpr Duration kStopDelay{2};

}  // namespace

std::size_t WorkerSession::EstimateMemory(const StartTask& order) {
  return kOrderBytes + order.payload.size();
}

bool WorkerSession::IsAlive(const Entry& entry, TimePoint now) const {
  return entry.linked && now - entry.last_alive_at <= kLongestSilenceAtStart;
}

bool WorkerSession::IsAnnouncementCurrent() const {
  return worker_->started_ms == 0 || worker_->started_ms == started_ms_;
}

// A new incarnation may have another capacity, kind and rack than the last one.
bool WorkerSession::IsAccepting(TimePoint now) const {
  return worker_ && IsAnnouncementCurrent() && settled_ && !crashed_ &&
         !worker_left_ && !leaving_ && !worker_->draining &&
         now - last_answer_at_ < kWorkerTimeout;
}

bool WorkerSession::HasCapacity(const Resources& size) const {
  const Resources& capacity = worker_->capacity;
  return in_use_.cpu + size.cpu <= capacity.cpu + kCpuEpsilon &&
         in_use_.memory_mb + size.memory_mb <= capacity.memory_mb &&
         in_use_.accelerators + size.accelerators <= capacity.accelerators;
}

WorkerSession::Attempt* WorkerSession::FindByRun(const TaskRun& run) {
  const auto found = by_run_.find(run);
  return found == by_run_.end() ? nullptr : &attempts_.at(found->second);
}

std::string WorkerSession::RefusalReason(const Peer& peer, const Entry& entry,
                                         const StartTask& order,
                                         TimePoint now) const {
  if (peer.releasing_since) return "the link is being released";
  if (!IsAlive(entry, now)) return "no recent heartbeat from the entry";
  if (!IsAccepting(now)) return "the worker is not accepting orders";
  if (IsOutdated(peer))
    return "the data centre is out of service by a newer route table";
  if (by_task_.contains(order.run.task))
    return "another run of the task is already here";
  if (!worker_->capacity.CanFit(order.size))
    return "the task exceeds the worker's capacity";
  if (!HasMemoryFor(order)) return kNoMemory;
  return "";
}

void WorkerSession::On(LinkId link, const StartTask& order, TimePoint now) {
  Peer& peer = peers_[link];
  peer.cpu_received += order.size.cpu;
  if (!peer.hello || attempts_.contains(order.attempt)) return;
  const Incarnation entry = peer.hello->incarnation;
  // The entry has given up orders that arrive over a replaced link.
  if (entries_[entry].link != link) return;
  ++counters_.orders;
  ++state_version_;
  if (!peer.releasing_since) hold_.OnOrder(entry, order.more_waiting, now);
  const std::string refusal = RefusalReason(peer, entries_[entry], order, now);
  if (!refusal.empty()) {
    ++counters_.returned;
    if (refusal == kNoMemory) ++counters_.returned_for_memory;
    SendTaskEnd(entry,
                TaskEnd{order.attempt, AttemptEnd::kNotStarted, refusal});
    return;
  }
  Attempt& attempt = attempts_[order.attempt];
  attempt.order = order;
  attempt.memory = EstimateMemory(order);
  order_memory_ += attempt.memory;
  attempt.entry = entry;
  attempt.received_at = now;
  attempt.started_at = now;
  attempt.state_since = now;
  by_run_[order.run] = order.attempt;
  ++by_task_[order.run.task];
  if (!starts_delayed_) StartQueued(now);
}

// Also of orders that the next tick is to return: their entry may have given
// them up while this process stood still.
bool WorkerSession::IsExpired(const Attempt& queued, TimePoint now) const {
  const auto entry = entries_.find(queued.entry);
  return now - queued.state_since > queued.order.max_wait ||
         entry == entries_.end() ||
         now - entry->second.last_alive_at > kLongestSilenceAtStart;
}

// By priority, then by age. Smaller tasks may overtake a large one at the head
// only until its queue time limit, when it is returned to the entry.
void WorkerSession::StartQueued(TimePoint now) {
  if (!IsAccepting(now)) return;
  std::vector<Attempt*> queue;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued) queue.push_back(&attempt);
  }
  std::sort(queue.begin(), queue.end(), [](const Attempt* a, const Attempt* b) {
    return std::pair(a->order.priority, a->state_since) <
           std::pair(b->order.priority, b->state_since);
  });
  for (Attempt* attempt : queue) {
    if (IsExpired(*attempt, now) || !HasCapacity(attempt->order.size)) continue;
    starts_delayed_ = !MayCallToStart();
    if (starts_delayed_) return;
    Start(*attempt, now);
  }
}

void WorkerSession::Start(Attempt& attempt, TimePoint now) {
  in_use_ += attempt.order.size;
  hold_.LimitTo(worker_->capacity.cpu - in_use_.cpu);
  attempt.state = State::kStarting;
  attempt.state_since = now;
  attempt.started_at = now;
  attempt.last_progress_at = now;
  attempt.worker_started_ms = started_ms_;
  lease_end_ = std::max(lease_end_, now + kLeaseDuration);
  ++counters_.starts;
  ++open_calls_;
  // An order is started once, so its payload is not needed any more.
  const SharedText payload = std::exchange(attempt.order.payload, {});
  attempt.memory -= payload.size();
  order_memory_ -= payload.size();
  actions_.emplace_back(StartRun{worker_->id, attempt.order.run, payload,
                                 LeaseUntil(now), fencing_token_});
}

void WorkerSession::OnStartEnded(const TaskRun& run,
                                 const OrderOutcome& outcome, TimePoint now) {
  OnCallEnded(now);
  Attempt* attempt = FindByRun(run);
  // Else it may be the clock of an earlier incarnation.
  const bool is_current =
      attempt != nullptr && attempt->worker_started_ms == started_ms_;
  if (outcome.clock_ms && is_current) {
    last_answer_at_ = now;
    clock_offset_ms_ = *outcome.clock_ms - now.ms();
  }
  if (attempt == nullptr || attempt->state != State::kStarting) return;
  const bool may_have_started =
      outcome.earlier_copy_lost && outcome.reply != OrderReply::kAccepted;
  if (may_have_started || outcome.reply == OrderReply::kNoAnswer) {
    OnStartInDoubt(*attempt, outcome, now);
    return;
  }
  const AttemptId id = attempt->order.attempt;
  const auto return_order = [&](AttemptEnd end, const std::string& reason) {
    ++counters_.returned;
    End(id, end, reason, now);
  };
  switch (outcome.reply) {
    case OrderReply::kAccepted:
      attempt->state = State::kRunning;
      attempt->state_since = now;
      attempt->first_valid_poll = next_poll_number_;
      attempt->has_run = true;
      break;
    case OrderReply::kNoAnswer:
      break;  // See OnStartInDoubt.
    case OrderReply::kFenced:
      // The next poll raises the token, unless the rejected one was an older
      // token of our own.
      return_order(AttemptEnd::kNotStarted, "fenced");
      break;
    case OrderReply::kSuperseded:
      return_order(AttemptEnd::kSuperseded,
                   "the worker knows a later run or an end of the task");
      break;
    case OrderReply::kUnhealthy:
      run_statistics_.AddOutcome(true);
      return_order(AttemptEnd::kNotStarted, "the worker is unhealthy");
      break;
    case OrderReply::kExpired:
      return_order(AttemptEnd::kNotStarted, "the lease had expired on arrival");
      break;
    case OrderReply::kNoCapacity:
      return_order(AttemptEnd::kNotStarted, "no free capacity at the worker");
      break;
    case OrderReply::kOtherIncarnation:
      return_order(AttemptEnd::kNotStarted, "the worker has restarted");
      break;
    case OrderReply::kConnectionRefused:
      return_order(AttemptEnd::kNotStarted, "the worker refuses connections");
      OnConnectionRefused(now);
      break;
    case OrderReply::kMalformed:
      return_order(AttemptEnd::kNotStarted,
                   "rejected by the worker: " + outcome.message);
      break;
  }
}

// A copy of the order may have started the run, or may start it later. The stop
// is harmless if none did, and prevents a later start.
void WorkerSession::OnStartInDoubt(Attempt& attempt,
                                   const OrderOutcome& outcome, TimePoint now) {
  ++counters_.in_doubt;
  last_lost_answer_at_ = now;
  if (!unanswered_since_) unanswered_since_ = now;
  attempt.state = State::kInDoubt;
  attempt.state_since = now;
  Stop(attempt, "in doubt", now);
  Log(LogLevel::kWarning, "start_unanswered",
      {{"task", attempt.order.run.task.value()},
       {"run", std::to_string(attempt.order.run.run)},
       {"entry", EntryNameOf(attempt)},
       {"entry_incarnation", ToString(attempt.entry)},
       {"message", outcome.message},
       {"sent_twice", outcome.earlier_copy_lost ? "true" : "false"}});
  if (outcome.reply == OrderReply::kUnhealthy) {
    run_statistics_.AddOutcome(true);
  } else if (outcome.reply == OrderReply::kConnectionRefused) {
    OnConnectionRefused(now);
  }
}

void WorkerSession::On(LinkId /*link*/, const StopTask& order, TimePoint now) {
  const auto found = attempts_.find(order.attempt);
  if (found != attempts_.end()) Stop(found->second, "cancelled", now);
}

void WorkerSession::Stop(Attempt& attempt, const std::string& reason,
                         TimePoint now) {
  if (attempt.state == State::kQueued) {
    End(attempt.order.attempt, AttemptEnd::kNotStarted, reason, now);
    return;
  }
  if (attempt.state == State::kStopping) return;
  ++counters_.stops;
  attempt.state = State::kStopping;
  attempt.state_since = now;
  attempt.stop_reason = reason;
  SendStop(attempt, now);
}

void WorkerSession::SendStop(Attempt& attempt, TimePoint now) {
  if (!MayCallToStop()) {
    attempt.next_stop = now + kStopDelay;
    return;
  }
  attempt.next_stop = now + kStopRetryInterval;
  CallToStop(attempt.order.run);
}

void WorkerSession::CallToStop(const TaskRun& run) {
  ++open_calls_;
  actions_.emplace_back(StopRun{worker_->id, run, fencing_token_});
}

void WorkerSession::OnCallEnded(TimePoint now) {
  if (open_calls_ > 0) --open_calls_;
  if (std::exchange(starts_delayed_, false)) StartQueued(now);
}

void WorkerSession::OnStopEnded(const TaskRun& run, const OrderOutcome& outcome,
                                TimePoint now) {
  OnCallEnded(now);
  Attempt* attempt = FindByRun(run);
  if (attempt == nullptr || attempt->state != State::kStopping) return;
  if (outcome.reply == OrderReply::kAccepted) {
    if (attempt->stop_accepted) return;
    attempt->stop_accepted = true;
    attempt->first_valid_poll = next_poll_number_;
    if (!attempt->has_run) SendImmediatePoll(now);
  } else if (outcome.reply == OrderReply::kUnhealthy) {
    attempt->next_stop =
        std::min(attempt->next_stop, now + kRejectedStopRetryInterval);
  }
}

// By value: the id and the reason may be those of the attempt, which is erased.
void WorkerSession::End(AttemptId id, AttemptEnd end, std::string reason,
                        TimePoint now) {
  const auto found = attempts_.find(id);
  Attempt& attempt = found->second;
  if (attempt.crashed && end == AttemptEnd::kStopped) {
    end = AttemptEnd::kCrashed;
  }
  if (attempt.state != State::kQueued) in_use_ -= attempt.order.size;
  by_run_.erase(attempt.order.run);
  if (--by_task_[attempt.order.run.task] == 0) {
    by_task_.erase(attempt.order.run.task);
  }
  const bool done = end == AttemptEnd::kDone;
  Log(LogLevel::kInfo, done ? "run_done" : "run_not_done",
      {{"task", attempt.order.run.task.value()},
       {"run", std::to_string(attempt.order.run.run)},
       {"entry", EntryNameOf(attempt)},
       {"entry_incarnation", ToString(attempt.entry)},
       {"end", std::string(Name(end))},
       {"reason", reason},
       {"estimate_ms", std::to_string(attempt.order.estimate.ms())},
       {"queued_ms",
        std::to_string((attempt.started_at - attempt.received_at).ms())},
       {"ran_ms", std::to_string((now - attempt.started_at).ms())},
       {"percent", std::to_string(done ? kDonePercent : attempt.percent)},
       {"slowness", std::to_string(run_statistics_.slowness())}});
  order_memory_ -= attempt.memory;
  const Incarnation entry = attempt.entry;
  // Cores are not held for a silent entry, which orders nothing.
  if (attempt.has_run && IsAlive(entries_[entry], now) &&
      hold_.OnRunEnded(entry, attempt.order.size.cpu, now)) {
    ++counters_.holds;
  }
  attempts_.erase(found);
  ++state_version_;
  SendTaskEnd(entry, TaskEnd{id, end, reason});
}

std::string WorkerSession::EntryNameOf(const Attempt& attempt) const {
  const auto entry = entries_.find(attempt.entry);
  return entry == entries_.end() ? "" : entry->second.name;
}

void WorkerSession::SendTaskEnd(Incarnation entry, const TaskEnd& end) {
  Entry& known = entries_[entry];
  known.unacknowledged[end.attempt] = end;
  if (!known.linked) return;
  Send(known.link, end);
  peers_[known.link].task_end_sent = true;
}

void WorkerSession::On(LinkId link, const TaskEndAck& ack, TimePoint /*now*/) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  entries_[peer.hello->incarnation].unacknowledged.erase(ack.attempt);
}

}  // namespace geranium
