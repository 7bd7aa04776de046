#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kRefusalBackoff{20};
constexpr Duration kOverdueMargin{2000};
constexpr Duration kHedgeMargin{20};
constexpr Duration kMinHedgeDelay{30};
constexpr Duration kDefaultHedgeDelay{500};
constexpr std::int64_t kTimeoutHedgeDivisor = 2;

}  // namespace

// ---- messages from workers

WorkerView* Dispatcher::OnWorkerMessage(LinkId link, const WorkerLoad& load,
                                        TimePoint now) {
  ++counters_.messages_received;
  WorkerView* worker = workers_.FindByLink(link);
  if (worker != nullptr) workers_.UpdateLoad(*worker, load, now);
  return worker;
}

void Dispatcher::On(LinkId link, const OfferAck& ack, TimePoint now) {
  WorkerView* worker = OnWorkerMessage(link, ack.load, now);
  const auto found = attempts_.find(ack.attempt);
  if (found != attempts_.end()) found->second.acknowledged = true;
  if (worker != nullptr) DispatchWaitingTo(*worker, now);
}

void Dispatcher::On(LinkId link, const Ready& ready, TimePoint now) {
  WorkerView* worker = OnWorkerMessage(link, ready.load, now);
  const auto found = attempts_.find(ready.attempt);
  if (found == attempts_.end()) {
    ++counters_.wasted_messages;
    if (worker != nullptr) Send(*worker, Withdraw{ready.attempt});
    return;
  }
  if (found->second.granted()) return;
  found->second.acknowledged = true;
  RecordAttemptEvent(EventKind::kReadyReceived, now, ready.attempt, "");
  GrantReady(ready.attempt, now);
  if (worker != nullptr) DispatchWaitingTo(*worker, now);
}

void Dispatcher::On(LinkId link, const NotStarted& not_started, TimePoint now) {
  WorkerView* worker = OnWorkerMessage(link, not_started.load, now);
  ++counters_.not_started;
  if (!attempts_.contains(not_started.attempt)) return;
  RecordAttemptEvent(EventKind::kNotStarted, now, not_started.attempt,
                     not_started.reason.message);
  const Attempt attempt = *CloseAttempt(not_started.attempt);
  counters_.wasted_messages += 2;
  if (attempt.granted()) {
    RequeueTask(*attempt.task, now);
  } else if (worker != nullptr) {
    worker->offers_paused_until = now + random_.Jitter(kRefusalBackoff);
  }
  DispatchWaiting(now);
}

void Dispatcher::On(LinkId link, const TaskResult& result, TimePoint now) {
  WorkerView* worker = OnWorkerMessage(link, result.load, now);
  ++counters_.results;
  counters_.run_ms += static_cast<std::uint64_t>(result.run_time.ms());
  if (worker != nullptr) {
    Send(*worker, ResultAck{result.attempt});
  }
  const auto found = attempts_.find(result.attempt);
  if (found == attempts_.end()) {
    ++counters_.late_results;
    ++counters_.wasted_messages;
  } else {
    const auto& task = found->second.task;
    const bool belongs = task == TaskRef{result.job, result.task};
    CheckInvariant(Invariant::kAnswerBelongsToRequest, belongs,
                   "result of " + ToString(result.attempt));
    RecordAttemptEvent(EventKind::kResultReceived, now, result.attempt, "");
    const auto attempt = CloseAttempt(result.attempt);
    if (belongs) ApplyResult(*attempt, result, now);
  }
  if (worker != nullptr) DispatchWaitingTo(*worker, now);
}

void Dispatcher::On(LinkId link, const Leaving& leaving, TimePoint now) {
  OnWorkerMessage(link, leaving.load, now);
}

void Dispatcher::OnHeartbeat(LinkId link, const Heartbeat& heartbeat,
                             TimePoint now) {
  WorkerView* worker = workers_.FindByLink(link);
  if (worker == nullptr || !heartbeat.load) return;
  worker->version = heartbeat.version;
  workers_.UpdateLoad(*worker, *heartbeat.load, now);
  DispatchWaitingTo(*worker, now);
}

void Dispatcher::OnWorkerUp(LinkId link, const Hello& hello, TimePoint now) {
  WorkerView* known = workers_.Find(hello.worker->id);
  const bool replaced =
      known != nullptr && known->incarnation != hello.incarnation;
  if (known != nullptr && known->link) workers_.Disconnect(*known->link, now);
  if (replaced) RevokeFromWorker(*known, true, "the agent restarted", now);
  if (known != nullptr) RevokeFromWorker(*known, false, "new link", now);
  if (replaced) known->outcomes = OutcomeHistory();
  WorkerView& worker = workers_.Connect(link, hello, now);
  ResendGrants(worker, now);
  DispatchWaitingTo(worker, now);
}

// The old link may have lost messages. The agent ignores a grant that it
// already has and reports one that it can no longer start, so resending is
// safe.
void Dispatcher::ResendGrants(WorkerView& worker, TimePoint now) {
  for (const AttemptId& id : worker.attempts) {
    const Attempt& attempt = attempts_.at(id);
    if (attempt.acknowledged) {
      Send(worker, Grant{id, AssignmentOf(*attempt.task)});
    } else {
      SendOfferMessage(id, jobs_.at(attempt.task->job), worker, now);
    }
  }
}

void Dispatcher::OnWorkerDown(LinkId link, TimePoint now) {
  WorkerView* worker = workers_.Disconnect(link, now);
  if (worker == nullptr) return;
  RevokeFromWorker(*worker, false, "the link to the worker was lost", now);
  DispatchWaiting(now);
}

void Dispatcher::RevokeFromWorker(WorkerView& worker, bool include_granted,
                                  const std::string& why, TimePoint now) {
  const std::set<AttemptId> attempts = worker.attempts;
  for (const AttemptId& id : attempts) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    if (!found->second.granted()) {
      RevokeAttempt(id);
    } else if (include_granted) {
      MarkInDoubt(id, why, now);
    }
  }
}

void Dispatcher::OnConfiguration(TimePoint now) {
  workers_.InvalidateAvailability();
  std::vector<WorkerId> moved;
  for (const auto& [id, worker] : workers_.workers()) {
    const bool is_in = configuration_.IsInService(worker.profile.data_centre);
    if (!is_in) moved.push_back(id);
  }
  for (const WorkerId& id : moved) {
    RevokeFromWorker(*workers_.Find(id), false,
                     "the data centre was taken out of service", now);
  }
  DispatchWaiting(now);
}

// ---- grants

bool Dispatcher::MayGrantAt(const WorkerId& id) const {
  const WorkerView* worker = workers_.Find(id);
  return configuration_fresh_ && worker != nullptr &&
         configuration_.IsInService(worker->profile.data_centre);
}

// Late binding: the task is chosen only once the worker holds a slot for it.
void Dispatcher::GrantReady(const AttemptId& id, TimePoint now) {
  const Attempt& attempt = attempts_.at(id);
  const auto head = PeekWaiting(attempt.queue);
  if (!head || !MayGrantAt(attempt.worker)) {
    RevokeAttempt(id);
    return;
  }
  Job& job = jobs_.at(head->job);
  if (!attempt.size.CanFit(job.tasks[head->task].spec.size)) {
    RevokeAttempt(id);
    return;
  }
  const TaskRef ref = PopWaiting(attempt.queue);
  MarkGranted(job, ref.task, id, now);
  SendGrant(id, now);
}

void Dispatcher::SendGrant(const AttemptId& id, TimePoint now) {
  const Attempt& attempt = attempts_.at(id);
  const WorkerView* worker = workers_.Find(attempt.worker);
  RecordAttemptEvent(EventKind::kGrantSent, now, id, "");
  Send(*worker, Grant{id, AssignmentOf(*attempt.task)});
}

void Dispatcher::MarkGranted(Job& job, std::uint32_t index, const AttemptId& id,
                             TimePoint now) {
  Task& task = job.tasks[index];
  Attempt& attempt = attempts_.at(id);
  const bool may_start = job.IsRepeatable() || !task.MayHaveRun();
  const Invariant invariant = job.kind == SubmissionKind::kJob
                                  ? Invariant::kStartsAtMostOnce
                                  : Invariant::kNonIdempotentOnce;
  CheckInvariant(invariant, may_start && job.claimed,
                 "second grant for " + ToString(job.id));
  CheckInvariant(Invariant::kNoStartInDataCentreOut, MayGrantAt(attempt.worker),
                 "grant for " + ToString(job.id));
  AdjustOfferCount(attempt, -1);
  --workers_.Find(attempt.worker)->pending_offers;
  attempt.task = TaskRef{job.id, index};
  attempt.granted_at = now;
  task.attempts.push_back(id);
  const bool is_first = task.unanswered_grants == 0 && !task.in_doubt;
  ++task.unanswered_grants;
  task.state = TaskState::kGranted;
  ++counters_.grants;
  AddTimer(now + job.service.timeout + kOverdueMargin, TimerKind::kOverdue,
           *attempt.task, id);
  if (!is_first) return;
  retry_budget_.OnFirstAttempt();
  if (!options_.hedge || !job.IsRepeatable()) return;
  const Duration unknown =
      std::min(kDefaultHedgeDelay, job.service.timeout / kTimeoutHedgeDivisor);
  const Duration usual = run_times_[job.service.name].P99(unknown);
  AddTimer(now + std::max(kMinHedgeDelay, usual + kHedgeMargin),
           TimerKind::kHedge, *attempt.task, id);
}

void Dispatcher::RevokeAttempts(const Task& task) {
  const std::vector<AttemptId> open = task.attempts;
  for (const AttemptId& id : open) RevokeAttempt(id);
}

// Closes an attempt and tells the worker, so that it neither holds a slot for
// it nor continues work whose result is no longer needed.
void Dispatcher::RevokeAttempt(const AttemptId& id) {
  const auto attempt = CloseAttempt(id);
  if (!attempt) return;
  counters_.wasted_messages += attempt->acknowledged ? 3 : 2;
  ++counters_.withdrawn;
  const WorkerView* worker = workers_.Find(attempt->worker);
  if (worker == nullptr || !worker->link) return;
  if (attempt->granted()) {
    Send(*worker, Cancel{id});
  } else {
    Send(*worker, Withdraw{id});
  }
}

std::optional<Attempt> Dispatcher::CloseAttempt(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return std::nullopt;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  WorkerView* worker = workers_.Find(attempt.worker);
  if (worker != nullptr) worker->attempts.erase(id);
  if (!attempt.granted()) {
    AdjustOfferCount(attempt, -1);
    if (worker != nullptr) --worker->pending_offers;
    return attempt;
  }
  Task& task = jobs_.at(attempt.task->job).tasks[attempt.task->task];
  std::erase(task.attempts, id);
  --task.unanswered_grants;
  return attempt;
}

}  // namespace geranium
