#include "worker/worker_session.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

/// The first raise of a refused fencing token, in milliseconds of the clock
/// that it was drawn from; doubled with each refusal.
constexpr std::uint64_t kFirstTokenStep = 16'000;
/// Undelivered ends are kept for an entry that is away this long.
constexpr Duration kKeepEnds{10'000};
/// Rounding of sums of processor shares.
constexpr double kEpsilon = 1e-6;
constexpr int kAllDone = 100;  // In per cent.

}  // namespace

WorkerSession::WorkerSession(WorkerSessionOptions options)
    : options_(std::move(options)),
      fencing_token_(options_.first_fencing_token),
      fencing_token_step_(kFirstTokenStep),
      selection_(options_.name, options_.entry_links) {}

std::vector<SessionAction> WorkerSession::TakeActions() {
  return std::exchange(actions_, {});
}

// ---- the backend server

void WorkerSession::OnAnnouncement(const WorkerAnnouncement& announcement,
                                   TimePoint now) {
  if (worker_ && worker_->id == announcement.id &&
      worker_->started_ms == announcement.started_ms &&
      announcement.sequence < worker_->sequence) {
    return;  // Overtaken by a newer one.
  }
  const bool is_new =
      !worker_ || worker_->id != announcement.id ||
      (announcement.started_ms != 0 && announcement.started_ms != started_ms_);
  // A delayed announcement of an earlier incarnation says nothing of this one.
  if (worker_ && is_new && announcement.started_ms < started_ms_) return;
  const bool draining_began =
      announcement.draining && (!worker_ || !worker_->draining);
  worker_ = announcement;
  if (is_new) {
    left_ = false;
    started_ms_ = announcement.started_ms;
    clock_offset_ms_ = announcement.clock_ms - now.ms();
    Log(LogLevel::kInfo, "worker_registered",
        {{"worker", announcement.id.value()},
         {"service", announcement.service.value()},
         {"started", std::to_string(announcement.started_ms)}});
    BeginIncarnation(now);
  }
  if (draining_began) {
    Log(LogLevel::kInfo, "worker_draining",
        {{"worker", announcement.id.value()}});
    ReturnQueued("the worker drains", now);
  }
  report_due_ = true;
}

void WorkerSession::OnWorkerLeft(const WorkerId& worker, TimePoint now) {
  if (!worker_ || worker_->id != worker) return;
  left_ = true;
  report_due_ = true;
  Log(LogLevel::kInfo, "worker_left", {{"worker", worker.value()}});
  ReturnQueued("the worker has left", now);
}

// Runs of the earlier incarnation have ended with it. An order that was sent to
// it may still reach the new one, which has seen no token: the raised token,
// once a poll with it is answered, keeps such an order out.
void WorkerSession::BeginIncarnation(TimePoint now) {
  settled_ = false;
  acknowledged_end_ = 0;
  unknown_runs_.clear();
  record_ = RunRecord();
  silent_ = false;
  answered_ = now;
  ++fencing_token_;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kRunning || attempt.state == State::kStarting) {
      attempt.since = now;
    }
  }
  next_poll_ = now;
}

void WorkerSession::NoteIncarnation(std::uint64_t started_ms, TimePoint now) {
  if (started_ms == 0 || started_ms == started_ms_) return;
  const bool first = started_ms_ == 0;
  started_ms_ = started_ms;
  if (first) return;
  Log(LogLevel::kWarning, "worker_restarted",
      {{"worker", worker_ ? worker_->id.value() : ""},
       {"started", std::to_string(started_ms)}});
  BeginIncarnation(now);
}

void WorkerSession::RaiseFencingToken() {
  fencing_token_ += fencing_token_step_;
  fencing_token_step_ *= 2;
  Log(LogLevel::kWarning, "fencing_token_raised",
      {{"token", std::to_string(fencing_token_)}});
}

std::int64_t WorkerSession::LeaseUntil(TimePoint now) const {
  return (now + std::min(kLease, options_.longest_lease)).ms() +
         clock_offset_ms_;
}

// ---- orders

bool WorkerSession::IsFresh(const Entry& entry, TimePoint now) const {
  return entry.linked && now - entry.proved <= kEntrySilence;
}

bool WorkerSession::IsAccepting(TimePoint now) const {
  return worker_ && settled_ && !left_ && !leaving_ && !worker_->draining &&
         now - answered_ < kWorkerSilence;
}

bool WorkerSession::HasRoom(const Resources& size) const {
  const Resources& capacity = worker_->capacity;
  return in_use_.cpu + size.cpu <= capacity.cpu + kEpsilon &&
         in_use_.memory_mb + size.memory_mb <= capacity.memory_mb &&
         in_use_.accelerators + size.accelerators <= capacity.accelerators;
}

WorkerSession::Attempt* WorkerSession::FindByRun(const TaskRun& run) {
  const auto found = by_run_.find(run);
  return found == by_run_.end() ? nullptr : &attempts_.at(found->second);
}

std::string WorkerSession::RefuseOrder(const Peer& peer, const Entry& entry,
                                       const StartTask& order,
                                       TimePoint now) const {
  if (peer.releasing) return "the link is being given up";
  if (!IsFresh(entry, now)) return "the entry's link is not fresh";
  if (!IsAccepting(now)) return "the worker takes no orders";
  if (by_task_.contains(order.run.task)) return "another run of it is here";
  if (!worker_->capacity.Holds(order.size)) return "it does not fit";
  return "";
}

void WorkerSession::On(LinkId link, const StartTask& order, TimePoint now) {
  Peer& peer = peers_[link];
  peer.cpu_received += order.size.cpu;
  if (!peer.hello || attempts_.contains(order.attempt)) return;
  const Incarnation entry = peer.hello->incarnation;
  // What comes late over a link that has been replaced was given up.
  if (entries_[entry].link != link) return;
  ++counters_.orders;
  report_due_ = true;
  const std::string refusal = RefuseOrder(peer, entries_[entry], order, now);
  if (!refusal.empty()) {
    ++counters_.returned;
    Tell(entry, TaskEnd{order.attempt, AttemptEnd::kNotStarted, refusal});
    return;
  }
  Attempt& attempt = attempts_[order.attempt];
  attempt.order = order;
  attempt.entry = entry;
  attempt.received = now;
  attempt.began = now;
  attempt.since = now;
  by_run_[order.run] = order.attempt;
  ++by_task_[order.run.task];
  StartQueued(now);
}

// The most urgent first; among equals the oldest. A large task at the head is
// not overtaken for long: it is returned when it has waited.
void WorkerSession::StartQueued(TimePoint now) {
  if (!IsAccepting(now)) return;
  std::vector<Attempt*> queue;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued) queue.push_back(&attempt);
  }
  std::sort(queue.begin(), queue.end(), [](const Attempt* a, const Attempt* b) {
    return std::pair(a->order.priority, a->since) <
           std::pair(b->order.priority, b->since);
  });
  for (Attempt* attempt : queue) {
    if (HasRoom(attempt->order.size)) Start(*attempt, now);
  }
}

void WorkerSession::Start(Attempt& attempt, TimePoint now) {
  in_use_ += attempt.order.size;
  attempt.state = State::kStarting;
  attempt.since = now;
  attempt.began = now;
  attempt.progressed = now;
  lease_end_ = std::max(lease_end_, now + kLease);
  ++counters_.starts;
  actions_.emplace_back(StartRun{worker_->id, attempt.order.run,
                                 attempt.order.payload, LeaseUntil(now),
                                 fencing_token_});
}

void WorkerSession::OnStartEnded(const TaskRun& run,
                                 const OrderOutcome& outcome, TimePoint now) {
  Attempt* attempt = FindByRun(run);
  if (outcome.clock_ms) {
    answered_ = now;
    clock_offset_ms_ = *outcome.clock_ms - now.ms();
  }
  if (attempt == nullptr || attempt->state != State::kStarting) return;
  const AttemptId id = attempt->order.attempt;
  const auto give_back = [&](AttemptEnd end, const std::string& reason) {
    ++counters_.returned;
    End(id, end, reason, now);
  };
  switch (outcome.reply) {
    case OrderReply::kAccepted:
      attempt->state = State::kRunning;
      attempt->since = now;
      attempt->has_run = true;
      break;
    case OrderReply::kNoAnswer:
      ++counters_.in_doubt;
      lost_answer_ = now;
      attempt->state = State::kInDoubt;
      attempt->since = now;
      // Does no harm if the order was not carried out, and keeps it from being
      // carried out later.
      Stop(*attempt, "in doubt", now);
      Log(LogLevel::kWarning, "start_unanswered",
          {{"task", run.task.value()}, {"message", outcome.message}});
      break;
    case OrderReply::kFenced:
      // The next poll raises the token, if this was not one of our own older
      // ones.
      give_back(AttemptEnd::kNotStarted, "fenced");
      break;
    case OrderReply::kSuperseded:
      give_back(AttemptEnd::kSuperseded, "a higher run is known");
      break;
    case OrderReply::kUnhealthy:
      record_.CountOutcome(true);
      give_back(AttemptEnd::kNotStarted, "the worker is unhealthy");
      break;
    case OrderReply::kExpired:
      give_back(AttemptEnd::kNotStarted, "the lease had run out");
      break;
    case OrderReply::kNoRoom:
      give_back(AttemptEnd::kNotStarted, "no room");
      break;
    case OrderReply::kOtherIncarnation:
      give_back(AttemptEnd::kNotStarted, "another incarnation of the worker");
      break;
    case OrderReply::kMalformed:
      give_back(AttemptEnd::kNotStarted, "refused: " + outcome.message);
      break;
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
  attempt.since = now;
  attempt.stop_reason = reason;
  SendStop(attempt, now);
}

void WorkerSession::SendStop(Attempt& attempt, TimePoint now) {
  attempt.stop_sent = now;
  actions_.emplace_back(
      StopRun{worker_->id, attempt.order.run, fencing_token_});
}

void WorkerSession::OnStopEnded(const TaskRun& run, const OrderOutcome& outcome,
                                TimePoint now) {
  Attempt* attempt = FindByRun(run);
  if (attempt == nullptr || attempt->state != State::kStopping) return;
  if (outcome.reply == OrderReply::kAccepted) {
    if (attempt->stop_accepted) return;
    attempt->stop_accepted = now;
    if (!attempt->has_run) Look(now + Duration(1));
  }
}

void WorkerSession::End(const AttemptId& id, AttemptEnd end,
                        const std::string& reason, TimePoint now) {
  const auto found = attempts_.find(id);
  Attempt& attempt = found->second;
  if (attempt.state != State::kQueued) in_use_ -= attempt.order.size;
  by_run_.erase(attempt.order.run);
  if (--by_task_[attempt.order.run.task] == 0) {
    by_task_.erase(attempt.order.run.task);
  }
  const bool done = end == AttemptEnd::kDone;
  Log(LogLevel::kInfo, done ? "run_done" : "run_not_done",
      {{"task", attempt.order.run.task.value()},
       {"run", std::to_string(attempt.order.run.run)},
       {"end", std::string(Name(end))},
       {"reason", reason},
       {"estimate_ms", std::to_string(attempt.order.estimate.ms())},
       {"queued_ms", std::to_string((attempt.began - attempt.received).ms())},
       {"ran_ms", std::to_string((now - attempt.began).ms())},
       {"percent", std::to_string(done ? kAllDone : attempt.percent)},
       {"slowness", std::to_string(record_.slowness())}});
  const Incarnation entry = attempt.entry;
  attempts_.erase(found);
  report_due_ = true;
  Tell(entry, TaskEnd{id, end, reason});
}

void WorkerSession::Tell(Incarnation entry, const TaskEnd& end) {
  Entry& known = entries_[entry];
  known.unacknowledged[end.attempt] = end;
  if (known.linked) Send(known.link, end);
}

void WorkerSession::On(LinkId link, const TaskEndAck& ack, TimePoint /*now*/) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  entries_[peer.hello->incarnation].unacknowledged.erase(ack.attempt);
}

// ---- time

void WorkerSession::OnTick(TimePoint now) {
  ExpireLease(now);
  StopForSilentEntries(now);
  ExpireQueued(now);
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kStopping && !attempt.stop_accepted &&
        now - attempt.stop_sent > kStopRetry) {
      SendStop(attempt, now);
    }
  }
  StartQueued(now);
  Poll(now);
  CloseSilentLinks(now);
  ChooseEntries(now);
  SendHeartbeats(now);
  SendReports(now);
}

void WorkerSession::ExpireQueued(TimePoint now) {
  ReturnQueuedBefore(now - kQueueLimit, "no room in time", now);
}

void WorkerSession::ReturnQueued(const std::string& reason, TimePoint now) {
  ReturnQueuedBefore(now + Duration(1), reason, now);
}

void WorkerSession::ReturnQueuedBefore(TimePoint before,
                                       const std::string& reason,
                                       TimePoint now) {
  std::vector<AttemptId> expired;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued && attempt.since < before) {
      expired.push_back(id);
    }
  }
  for (const AttemptId& id : expired) {
    ++counters_.returned;
    End(id, AttemptEnd::kNotStarted, reason, now);
  }
}

void WorkerSession::StopForSilentEntries(TimePoint now) {
  std::vector<AttemptId> orphans;
  for (const auto& [id, attempt] : attempts_) {
    const Entry& entry = entries_[attempt.entry];
    if (attempt.state != State::kStopping &&
        now - entry.proved > kEntrySilence) {
      orphans.push_back(id);
    }
  }
  for (const AttemptId& id : orphans) {
    Stop(attempts_.at(id), "the entry is silent", now);
  }
  std::set<Incarnation> with_runs;
  for (const auto& [id, attempt] : attempts_) with_runs.insert(attempt.entry);
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    return !entry.linked && now - entry.proved >= kKeepEnds &&
           !with_runs.contains(item.first);
  });
}

void WorkerSession::Leave(TimePoint now) {
  leaving_ = true;
  report_due_ = true;
  ReturnQueued("the agent is leaving", now);
}

void WorkerSession::StopAll(TimePoint now) {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) Stop(attempt, "leaving", now);
  }
}

void WorkerSession::Send(LinkId link, Message message) {
  actions_.emplace_back(SendMessage{link, std::move(message)});
}

void WorkerSession::Log(LogLevel level, const std::string& event,
                        LogFields fields) {
  actions_.emplace_back(LogNote{level, event, std::move(fields)});
}

}  // namespace geranium
