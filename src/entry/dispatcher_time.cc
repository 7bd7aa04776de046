#include <utility>

#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kHedgeRetryDelay{20};
constexpr std::size_t kMaxAttempts = 2;

}  // namespace

void Dispatcher::AddTimer(TimePoint at, TimerKind kind, TaskRef task,
                          AttemptId attempt) {
  timers_.emplace(at, Timer{kind, task, attempt});
}

void Dispatcher::OnTick(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const Timer timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    OnTimer(timer, now);
  }
  if (now >= next_silence_check_) {
    next_silence_check_ = now + Duration(100);
    CheckSilentWorkers(now);
  }
  DispatchWaiting(now);
}

void Dispatcher::OnTimer(const Timer& timer, TimePoint now) {
  const auto found = attempts_.find(timer.attempt);
  const bool is_open = found != attempts_.end();
  switch (timer.kind) {
    case TimerKind::kDeadline:
      CancelJob(
          timer.task.job,
          MakeRefusal(ErrorCode::kDeadline, "run", "the job's deadline passed"),
          now);
      break;
    case TimerKind::kRequeue:
      OnRequeueTimer(timer.task);
      break;
    case TimerKind::kHedge:
      if (is_open && configuration_fresh_) OnHedgeTimer(timer, now);
      break;
    case TimerKind::kOverdue:
      if (is_open) MarkInDoubt(timer.attempt, "no result within timeout", now);
      break;
    case TimerKind::kUnacknowledged:
      if (is_open && !found->second.acknowledged) RevokeAttempt(timer.attempt);
      break;
  }
}

void Dispatcher::OnRequeueTimer(const TaskRef& ref) {
  Job* job = FindMutableJob(ref.job);
  if (job == nullptr) return;
  const Task& task = job->tasks[ref.task];
  const bool waits = task.state == TaskState::kWaiting && !task.queued;
  if (waits) Enqueue(*job, ref.task, true);
}

void Dispatcher::OnHedgeTimer(const Timer& timer, TimePoint now) {
  Job& job = jobs_.at(timer.task.job);
  const Task& task = job.tasks[timer.task.task];
  if (task.attempts.size() >= kMaxAttempts) return;
  WorkerQuery query = QueryFor(job, task);
  query.excluded_worker = attempts_.at(timer.attempt).worker;
  query.needs_free_slot = true;
  WorkerView* worker = workers_.Choose(
      query, [](int slots) { return slots; }, now);
  if (worker == nullptr) {
    AddTimer(now + kHedgeRetryDelay, TimerKind::kHedge, timer.task,
             timer.attempt);
    return;
  }
  if (!retry_budget_.TrySpend()) return;
  ++counters_.hedges;
  SendGrantedOffer(timer.task, *worker, now);
}

// Offers that were not granted are revoked from a silent worker early; grants,
// which it may have started, only after `worker_lost`.
void Dispatcher::CheckSilentWorkers(TimePoint now) {
  std::vector<WorkerId> ids;
  for (const auto& [id, worker] : workers_.workers()) ids.push_back(id);
  for (const WorkerId& id : ids) {
    WorkerView& worker = *workers_.Find(id);
    const TimePoint silent_since =
        worker.link ? worker.last_heard : worker.lost_since;
    const Duration silence = now - silent_since;
    if (silence > options_.worker_lost) {
      RevokeFromWorker(worker, true, "no message for worker_lost_ms", now);
      if (!worker.link && worker.attempts.empty()) workers_.Remove(id);
    } else if (silence > WorkerTable::kSilenceTimeout) {
      RevokeFromWorker(worker, false, "the worker is silent", now);
    }
  }
}

}  // namespace geranium
