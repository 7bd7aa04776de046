#include <utility>

#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kHedgeRetry{20};
constexpr std::size_t kMostAttempts = 2;

}  // namespace

void Dispatcher::AddTimer(TimePoint at, TimerKind kind, TaskRef task,
                          AttemptId attempt) {
  timers_.emplace(at, Timer{kind, task, attempt});
}

void Dispatcher::OnTick(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const Timer timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Fire(timer, now);
  }
  if (now >= next_watch_) {
    next_watch_ = now + Duration(100);
    WatchWorkers(now);
  }
  Pump(now);
}

void Dispatcher::Fire(const Timer& timer, TimePoint now) {
  const auto found = attempts_.find(timer.attempt);
  const bool is_open = found != attempts_.end();
  switch (timer.kind) {
    case TimerKind::kDeadline:
      CancelJob(timer.task.job,
                Refusal(ErrorCode::kDeadline, "run", "the deadline passed"),
                now);
      break;
    case TimerKind::kRequeue:
      FireRequeue(timer.task);
      break;
    case TimerKind::kHedge:
      if (is_open && fresh_) FireHedge(timer, now);
      break;
    case TimerKind::kOverdue:
      if (is_open) MarkInDoubt(timer.attempt, "no answer in time", now);
      break;
    case TimerKind::kUnacknowledged:
      if (is_open && !found->second.acknowledged) TakeBack(timer.attempt);
      break;
  }
}

void Dispatcher::FireRequeue(const TaskRef& ref) {
  Job* job = FindMutableJob(ref.job);
  if (job == nullptr) return;
  const Task& task = job->tasks[ref.task];
  const bool waits = task.state == TaskState::kWaiting && !task.queued;
  if (waits) Enqueue(*job, ref.task, true);
}

void Dispatcher::FireHedge(const Timer& timer, TimePoint now) {
  Job& job = jobs_.at(timer.task.job);
  const Task& task = job.tasks[timer.task.task];
  if (task.attempts.size() >= kMostAttempts) return;
  WorkerQuery query = QueryFor(job, task);
  query.other_than = attempts_.at(timer.attempt).worker;
  query.needs_free_slot = true;
  WorkerView* worker = workers_.Choose(
      query, [](int slots) { return slots; }, now);
  if (worker == nullptr) {
    AddTimer(now + kHedgeRetry, TimerKind::kHedge, timer.task, timer.attempt);
    return;
  }
  if (!budget_.Spend()) return;
  ++counters_.hedges;
  SendGrantedOffer(timer.task, *worker, now);
}

// A silent worker keeps what it may have started; what it surely has not is
// moved early.
void Dispatcher::WatchWorkers(TimePoint now) {
  std::vector<WorkerId> ids;
  for (const auto& [id, worker] : workers_.workers()) ids.push_back(id);
  for (const WorkerId& id : ids) {
    WorkerView& worker = *workers_.Find(id);
    const TimePoint silent_since =
        worker.link ? worker.heard : worker.lost_since;
    const Duration silence = now - silent_since;
    if (silence > options_.worker_lost) {
      MoveFromWorker(worker, true, "the worker is silent", now);
      if (!worker.link && worker.attempts.empty()) workers_.Remove(id);
    } else if (silence > WorkerTable::kSilentLimit) {
      MoveFromWorker(worker, false, "the worker is silent", now);
    }
  }
}

}  // namespace geranium
