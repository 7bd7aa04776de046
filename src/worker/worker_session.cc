#include "worker/worker_session.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

/// A stop whose answer did not come is sent again after this long; an answer
/// from the same machine takes a few milliseconds.
constexpr Duration kStopRetry{60};
/// Wait of a hold while something runs, so that progress is seen in time.
constexpr Duration kBusyWait{80};
/// Wait of a hold after one was lost: while answers get lost, a short wait
/// keeps the time short in which ends go unseen.
constexpr Duration kLossyWait{20};
/// How long after a lost answer more losses are expected.
constexpr Duration kLossyPeriod{3000};
/// Wait while nothing runs: well within the lease of the next start.
constexpr Duration kIdleWait{300};
/// Wait while an order is in doubt.
constexpr Duration kDoubtWait{20};
/// Pause after a hold that failed.
constexpr Duration kHoldRetry{30};
/// Without an answer for this long the lease is not renewed, so that it is
/// known when everything there has ended.
constexpr Duration kWorkerSilence{400};
/// Reports are sent at most this often.
constexpr Duration kReportInterval{20};
/// A run whose share done has not risen for this long, and for `kStallShare`
/// tenths of its estimate, stands still. A run that is ten times slow still
/// rises by one per cent within a tenth of its estimate.
constexpr Duration kStallLimit{300};
constexpr std::int64_t kStallShare = 4;
/// A run's speed is measured once it has done this many per cent ...
constexpr int kMeasureShare = 50;
/// ... or has taken this many times its estimate.
constexpr std::int64_t kOverdueEstimates = 2;
/// From this slowness on, runs are returned to be started elsewhere if what is
/// left of them takes longer than `kMoveGain` per cent of their estimate.
constexpr double kMoveSlowness = 2.5;
constexpr std::int64_t kMoveGain = 150;
/// A lease may last longer by this share (in per cent) on the server's clock.
constexpr std::int64_t kClockSlack = 2;
constexpr Duration kLeaseMargin{30};
/// The first raise of a refused fencing token, in milliseconds of the clock
/// that it was drawn from; doubled with each refusal.
constexpr std::uint64_t kFirstFenceStep = 16'000;
/// Undelivered ends are kept for an entry that is away this long.
constexpr Duration kKeepEnds{10'000};
/// Rounding of sums of processor shares.
constexpr double kEpsilon = 1e-6;

}  // namespace

WorkerSession::WorkerSession(WorkerSessionOptions options)
    : options_(std::move(options)),
      fence_(options_.first_fence),
      fence_step_(kFirstFenceStep) {}

std::vector<SessionAction> WorkerSession::TakeActions() {
  return std::exchange(actions_, {});
}

// ---- the backend server

void WorkerSession::OnAnnouncement(const WorkerAnnouncement& announcement,
                                   TimePoint now) {
  if (worker_ && worker_->id == announcement.id &&
      worker_->born_ms == announcement.born_ms &&
      announcement.sequence < worker_->sequence) {
    return;  // Overtaken by a newer one.
  }
  const bool other_life =
      !worker_ || worker_->id != announcement.id ||
      (announcement.born_ms != 0 && announcement.born_ms != born_ms_);
  // A delayed announcement of an earlier life says nothing of this one.
  if (worker_ && other_life && announcement.born_ms < born_ms_) return;
  const bool draining_began =
      announcement.draining && (!worker_ || !worker_->draining);
  worker_ = announcement;
  if (other_life) {
    left_ = false;
    born_ms_ = announcement.born_ms;
    clock_offset_ms_ = announcement.clock_ms - now.ms();
    Log(LogLevel::kInfo, "worker_registered",
        {{"worker", announcement.id.value()},
         {"service", announcement.service.value()},
         {"born", std::to_string(announcement.born_ms)}});
    BeginLife(now);
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

// Runs of the earlier life have ended with it. An order that was sent to it may
// still reach the new life, which has seen no token: the raised token, once a
// hold with it is answered, keeps such an order out.
void WorkerSession::BeginLife(TimePoint now) {
  settled_ = false;
  acknowledged_end_ = 0;
  strangers_.clear();
  record_ = RunRecord();
  silent_ = false;
  answered_ = now;
  ++fence_;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kRunning || attempt.state == State::kStarting) {
      attempt.since = now;
    }
  }
  next_hold_ = now;
}

void WorkerSession::NoteLife(std::uint64_t born_ms, TimePoint now) {
  if (born_ms == 0 || born_ms == born_ms_) return;
  const bool first = born_ms_ == 0;
  born_ms_ = born_ms;
  if (first) return;
  Log(LogLevel::kWarning, "worker_restarted",
      {{"worker", worker_ ? worker_->id.value() : ""},
       {"born", std::to_string(born_ms)}});
  BeginLife(now);
}

void WorkerSession::RaiseFence() {
  fence_ += fence_step_;
  fence_step_ *= 2;
  Log(LogLevel::kWarning, "fence_raised", {{"fence", std::to_string(fence_)}});
}

std::int64_t WorkerSession::LeaseUntil(TimePoint now) const {
  return (now + std::min(kLease, options_.longest_lease)).ms() +
         clock_offset_ms_;
}

void WorkerSession::Hold(TimePoint now) {
  if (!worker_ || waiting_hold_ != 0 || now < next_hold_) return;
  HoldRuns hold;
  if (now - answered_ < kWorkerSilence) {
    hold.lease_until_ms = LeaseUntil(now);
    lease_end_ = std::max(lease_end_, now + kLease);
  }
  hold.wait = kIdleWait;
  for (const auto& [id, attempt] : attempts_) {
    const bool unclear =
        attempt.state == State::kInDoubt || attempt.state == State::kStopping;
    if (unclear) hold.wait = kDoubtWait;
    if (attempt.state != State::kQueued) {
      hold.wait = std::min(hold.wait, kBusyWait);
    }
  }
  if (now - lost_answer_ < kLossyPeriod) {
    hold.wait = std::min(hold.wait, kLossyWait);
  }
  if (!settled_) hold.wait = Duration(0);
  waiting_hold_ = next_hold_number_;
  SendHold(std::move(hold), now);
}

// The waiting hold may be answered only when it has waited; what is being
// settled is asked for at once.
void WorkerSession::Look(TimePoint now) {
  SendHold(HoldRuns{}, now);
  open_holds_.rbegin()->second.is_look = true;
}

void WorkerSession::SendHold(HoldRuns hold, TimePoint now) {
  hold.number = next_hold_number_++;
  hold.worker = worker_->id;
  hold.fence = fence_;
  hold.acknowledged_end = acknowledged_end_;
  open_holds_[hold.number] = OpenHold{now, fence_, false};
  actions_.emplace_back(std::move(hold));
}

void WorkerSession::OnHoldEnded(std::uint64_t number,
                                const HoldOutcome& outcome, TimePoint now) {
  const auto found = open_holds_.find(number);
  if (found == open_holds_.end()) return;
  const OpenHold hold = found->second;
  open_holds_.erase(found);
  if (!hold.is_look) waiting_hold_ = 0;
  if (outcome.reply != OrderReply::kAccepted) {
    const bool lost = outcome.reply == OrderReply::kNoAnswer;
    if (lost) lost_answer_ = now;
    next_hold_ =
        lost && now - answered_ < kWorkerSilence ? now : now + kHoldRetry;
    if (outcome.reply == OrderReply::kFenced && hold.fence == fence_) {
      RaiseFence();
    }
    return;
  }
  answered_ = now;
  if (!hold.is_look) next_hold_ = now;
  if (outcome.clock_ms) clock_offset_ms_ = *outcome.clock_ms - now.ms();
  if (silent_) {
    silent_ = false;
    Log(LogLevel::kInfo, "worker_answers_again", {});
  }
  NoteLife(outcome.born_ms, now);
  if (hold.fence != fence_) return;  // Says nothing of the present token.
  TakeEnds(outcome, now);
  Compare(outcome, hold.sent, now);
  StopStrangers(outcome, now);
  MeasureRuns(now);
  StopStalled(now);
  StartQueued(now);
}

void WorkerSession::TakeEnds(const HoldOutcome& outcome, TimePoint now) {
  for (const EndedRun& ended : outcome.ended) {
    if (ended.number <= acknowledged_end_) continue;
    acknowledged_end_ = ended.number;
    strangers_.erase(ended.run);
    Attempt* attempt = FindByRun(ended.run);
    if (attempt == nullptr) continue;
    const AttemptId id = attempt->order.attempt;
    const bool stalled = attempt->stop_reason == "stalled";
    switch (ended.end) {
      case RunEnd::kDone:
        if (!attempt->measured) {
          record_.CountRun(now - attempt->began, attempt->order.estimate);
        }
        record_.CountOutcome(false);
        ++counters_.done;
        End(id, AttemptEnd::kDone, "", now);
        break;
      case RunEnd::kFailed:
        record_.CountOutcome(true);
        ++counters_.failed;
        End(id, AttemptEnd::kFailed, "the run failed", now);
        break;
      case RunEnd::kStopped:
        if (stalled) record_.CountOutcome(true);
        End(id, AttemptEnd::kStopped,
            attempt->stop_reason.empty() ? "lapsed" : attempt->stop_reason,
            now);
        break;
    }
  }
}

void WorkerSession::Compare(const HoldOutcome& outcome, TimePoint sent_at,
                            TimePoint now) {
  std::map<TaskRun, const ListedRun*> listed;
  for (const ListedRun& run : outcome.running) listed[run.run] = &run;
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) ids.push_back(id);
  for (const AttemptId& id : ids) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    const auto entry = listed.find(found->second.order.run);
    CompareAttempt(found->second,
                   entry == listed.end() ? nullptr : entry->second, sent_at,
                   now);
  }
}

// A listing tells of an order only if it was asked for after the order's end
// was known, since answers on different connections overtake each other.
void WorkerSession::CompareAttempt(Attempt& attempt, const ListedRun* listed,
                                   TimePoint sent_at, TimePoint now) {
  if (attempt.state == State::kQueued) return;
  if (listed != nullptr) {
    attempt.has_run = true;
    if (listed->percent > attempt.percent) {
      attempt.percent = listed->percent;
      attempt.progressed = now;
    }
    if (attempt.state == State::kStarting || attempt.state == State::kInDoubt) {
      attempt.state = State::kRunning;
      attempt.since = now;
    } else if (attempt.state == State::kStopping &&
               now - attempt.stop_sent > kStopRetry) {
      SendStop(attempt, now);
    }
    return;
  }
  const bool later = sent_at > attempt.since;
  if (attempt.state == State::kInDoubt && later) {
    Stop(attempt, "in doubt", now);
  } else if (attempt.state == State::kRunning && later) {
    End(attempt.order.attempt, AttemptEnd::kStopped, "no longer listed", now);
  } else if (attempt.state == State::kStopping && attempt.stop_accepted &&
             sent_at > *attempt.stop_accepted) {
    End(attempt.order.attempt,
        attempt.has_run ? AttemptEnd::kStopped : AttemptEnd::kNotStarted,
        attempt.stop_reason, now);
  }
}

// Runs that an earlier agent started, or orders that were carried out after
// they had been given up. Their size is not known, so nothing is started
// beside them.
void WorkerSession::StopStrangers(const HoldOutcome& outcome, TimePoint now) {
  std::set<TaskRun> seen;
  for (const ListedRun& listed : outcome.running) {
    if (by_run_.contains(listed.run)) continue;
    seen.insert(listed.run);
    const auto [found, is_new] =
        strangers_.try_emplace(listed.run, TimePoint::Never());
    if (is_new) {
      Log(LogLevel::kWarning, "stopping_unknown_run",
          {{"task", listed.run.task.value()},
           {"run", std::to_string(listed.run.run)}});
    }
    if (now - found->second <= kStopRetry) continue;
    found->second = now;
    actions_.emplace_back(StopRun{worker_->id, listed.run, fence_});
  }
  std::erase_if(strangers_, [&](const auto& stranger) {
    return !seen.contains(stranger.first);
  });
  const bool settled = strangers_.empty();
  if (settled != settled_) report_due_ = true;
  settled_ = settled;
}

void WorkerSession::ExpireLease(TimePoint now) {
  if (!worker_ || lease_end_ == TimePoint::Never()) return;
  if (now - answered_ < kWorkerSilence) return;
  if (!silent_) {
    silent_ = true;
    report_due_ = true;
    Log(LogLevel::kWarning, "worker_silent",
        {{"worker", worker_->id.value()},
         {"silent_ms", std::to_string((now - answered_).ms())}});
    ReturnQueued("the worker is silent", now);
  }
  const Duration slack = kLease * kClockSlack / 100 + kLeaseMargin;
  if (now < lease_end_ + slack) return;
  // Everything there has lapsed. A run that shows up later all the same is
  // stopped as a stranger, before anything else is started.
  settled_ = false;
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) ids.push_back(id);
  }
  for (const AttemptId& id : ids) {
    End(id, AttemptEnd::kStopped, "the worker is silent", now);
  }
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

std::string WorkerSession::RefuseOrder(const Entry& entry,
                                       const StartTask& order,
                                       TimePoint now) const {
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
  const std::string refusal = RefuseOrder(entries_[entry], order, now);
  if (!refusal.empty()) {
    ++counters_.bounced;
    Tell(entry, TaskEnd{order.attempt, AttemptEnd::kNotStarted, refusal});
    return;
  }
  Attempt& attempt = attempts_[order.attempt];
  attempt.order = order;
  attempt.entry = entry;
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
                                 fence_});
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
    ++counters_.bounced;
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
      // The next hold raises the token, if this was not one of our own older
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
    case OrderReply::kOtherLife:
      give_back(AttemptEnd::kNotStarted, "another life of the worker");
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
  actions_.emplace_back(StopRun{worker_->id, attempt.order.run, fence_});
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
  const bool ordinary = end == AttemptEnd::kDone || reason == "cancelled" ||
                        attempt.state == State::kQueued;
  if (!ordinary) {
    Log(LogLevel::kInfo, "attempt_ended",
        {{"task", attempt.order.run.task.value()},
         {"run", std::to_string(attempt.order.run.run)},
         {"reason", reason},
         {"age_ms", std::to_string((now - attempt.since).ms())}});
  }
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

// ---- links

void WorkerSession::OnLinkUp(LinkId link, TimePoint now) {
  peers_[link].heard = now;
  Hello hello;
  hello.role = ProcessRole::kAgent;
  hello.name = options_.name;
  hello.incarnation = options_.incarnation;
  Send(link, hello);
  Send(link,
       Heartbeat{now, std::nullopt, Version(0), std::nullopt, std::nullopt});
}

void WorkerSession::OnLinkDown(LinkId link, TimePoint /*now*/) {
  const Peer& peer = peers_[link];
  if (peer.hello) {
    Entry& entry = entries_[peer.hello->incarnation];
    if (entry.link == link) entry.linked = false;
    Log(LogLevel::kWarning, "entry_link_down", {{"entry", peer.hello->name}});
  }
  peers_.erase(link);
}

void WorkerSession::OnMessage(LinkId link, const Message& message,
                              TimePoint now) {
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) return;
  peer->second.heard = now;
  std::visit([&](const auto& typed) { On(link, typed, now); }, message);
}

void WorkerSession::On(LinkId link, const Hello& hello, TimePoint now) {
  if (hello.role != ProcessRole::kEntry) return;
  peers_[link].hello = hello;
  known_entries_.insert(hello.link_address);
  Entry& entry = entries_[hello.incarnation];
  entry.link = link;
  entry.linked = true;
  Log(LogLevel::kInfo, "entry_link_up", {{"entry", hello.name}});
  AttemptList list;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.entry == hello.incarnation) list.attempts.push_back(id);
  }
  for (const auto& [id, end] : entry.unacknowledged) {
    list.attempts.push_back(id);
  }
  Send(link, list);
  for (const auto& [id, end] : entry.unacknowledged) Send(link, end);
  if (worker_) Send(link, Card());
  Send(link, Report(peers_[link], now));
}

void WorkerSession::On(LinkId /*link*/, const Members& members,
                       TimePoint /*now*/) {
  for (const std::string& address : members.entry_addresses) {
    LearnEntry(address);
  }
}

void WorkerSession::On(LinkId link, const Heartbeat& heartbeat,
                       TimePoint /*now*/) {
  Peer& peer = peers_[link];
  peer.newest_sent_at = heartbeat.sent_at;
  if (!peer.hello || !heartbeat.echo) return;
  Entry& entry = entries_[peer.hello->incarnation];
  if (entry.link == link) {
    entry.proved = std::max(entry.proved, *heartbeat.echo);
  }
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
  Hold(now);
  CloseSilentLinks(now);
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
    ++counters_.bounced;
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

// Shares done tell the speed of the worker before long runs end. They lag at
// the beginning of a run, so only later ones count.
void WorkerSession::MeasureRuns(TimePoint now) {
  std::vector<AttemptId> too_slow;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kRunning) continue;
    const Duration ran = now - attempt.began;
    const Duration estimate = attempt.order.estimate;
    const Duration whole = ran * 100 / std::max(1, attempt.percent);
    const bool overdue = ran > estimate * kOverdueEstimates;
    if (!attempt.measured && (attempt.percent >= kMeasureShare || overdue)) {
      attempt.measured = true;
      record_.CountRun(whole, estimate);
    }
    if (record_.slowness() > kMoveSlowness && ran > estimate &&
        whole - ran > estimate * kMoveGain / 100) {
      too_slow.push_back(id);
    }
  }
  for (const AttemptId& id : too_slow) {
    ++counters_.moved;
    Stop(attempts_.at(id), "slow", now);
  }
}

void WorkerSession::StopStalled(TimePoint now) {
  std::vector<AttemptId> stalled;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kRunning) continue;
    const Duration limit =
        std::max(kStallLimit, attempt.order.estimate * kStallShare / 10);
    if (now - attempt.progressed > limit) stalled.push_back(id);
  }
  for (const AttemptId& id : stalled) {
    ++counters_.stalled;
    Stop(attempts_.at(id), "stalled", now);
  }
}

void WorkerSession::CloseSilentLinks(TimePoint now) {
  for (auto& [link, peer] : peers_) {
    if (now - peer.heard <= kLinkSilence) continue;
    peer.heard = now;
    actions_.emplace_back(CloseLink{link});
  }
}

void WorkerSession::SendHeartbeats(TimePoint now) {
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + kHeartbeat;
  for (const auto& [link, peer] : peers_) {
    Send(link, Heartbeat{now, peer.newest_sent_at, Version(0), std::nullopt,
                         std::nullopt});
  }
}

void WorkerSession::SendReports(TimePoint now) {
  if (!report_due_ || now < next_report_) return;
  report_due_ = false;
  next_report_ = now + kReportInterval;
  for (const auto& [link, peer] : peers_) {
    if (!peer.hello) continue;
    if (worker_) Send(link, Card());
    Send(link, Report(peer, now));
  }
}

WorkerCard WorkerSession::Card() const {
  WorkerCard card;
  card.id = worker_->id;
  card.service = worker_->service;
  card.data_centre = worker_->data_centre;
  card.labels = worker_->labels;
  card.capacity = worker_->capacity;
  card.settled = settled_;
  return card;
}

WorkerReport WorkerSession::Report(const Peer& peer, TimePoint now) const {
  WorkerReport report;
  report.accepting = IsAccepting(now);
  if (worker_) {
    report.free = worker_->capacity;
    report.free -= in_use_;
  }
  report.cpu_received = peer.cpu_received;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) continue;
    const auto rank = static_cast<std::size_t>(
        std::clamp(attempt.order.priority, 0, WorkerReport::kPriorities - 1));
    report.queued_cpu.resize(WorkerReport::kPriorities);
    report.queued_cpu[rank] += attempt.order.size.cpu;
  }
  report.slowness = record_.slowness();
  report.failing = record_.failing();
  return report;
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
