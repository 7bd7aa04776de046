#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kInitialRequeueDelay{5};
constexpr Duration kMaxRequeueDelay{200};
constexpr int kImmediateRequeues = 2;
constexpr double kMeanRunTimeSmoothing = 0.05;

}  // namespace

// The attempt ended without a start, so another worker may get the task.
void Dispatcher::RequeueTask(const TaskRef& ref, TimePoint now) {
  Job* job = FindMutableJob(ref.job);
  if (job == nullptr) return;
  Task& task = job->tasks[ref.task];
  if (task.state == TaskState::kDone || !task.attempts.empty()) return;
  if (task.in_doubt && !job->IsRepeatable()) return;
  task.state = TaskState::kWaiting;
  ++task.not_started_count;
  if (task.not_started_count > kImmediateRequeues) {
    RequeueWithBackoff(ref, now);
    return;
  }
  Enqueue(*job, ref.task, true);
  DispatchWaiting(now);
}

void Dispatcher::RequeueWithBackoff(const TaskRef& ref, TimePoint now) {
  const Task& task = jobs_.at(ref.job).tasks[ref.task];
  const int doublings =
      std::min(task.not_started_count - kImmediateRequeues, 6);
  const Duration wait =
      std::min(kMaxRequeueDelay, kInitialRequeueDelay * (1 << doublings));
  AddTimer(now + random_.Jitter(wait), TimerKind::kRequeue, ref);
}

void Dispatcher::ApplyResult(const Attempt& attempt, const TaskResult& result,
                             TimePoint now) {
  Job& job = jobs_.at(attempt.task->job);
  Task& task = job.tasks[attempt.task->task];
  const TaskOutcome& outcome = result.outcome;
  task.has_run = true;
  const bool succeeded = outcome.status == TaskStatus::kSucceeded;
  const bool is_workers_fault =
      !succeeded && (result.unreachable || outcome.http_status >= 500);
  WorkerView* worker = workers_.Find(attempt.worker);
  if (worker != nullptr) {
    workers_.RecordOutcome(*worker, !is_workers_fault, now);
  }
  if (succeeded) {
    run_times_[job.service.name].Add(now - attempt.granted_at);
    const auto run_ms = static_cast<double>(result.run_time.ms());
    double& mean =
        mean_run_ms_.try_emplace(job.service.name, run_ms).first->second;
    mean += kMeanRunTimeSmoothing * (run_ms - mean);
  }
  if (task.state == TaskState::kDone) return;
  if (is_workers_fault && job.IsRepeatable()) {
    if (!task.attempts.empty()) return;
    if (RetryTask(job, attempt.task->task, now)) return;
  }
  FinishTask(job, task, outcome);
  AnswerIfDone(job, now);
}

// Retries an idempotent request within its deadline and the retry budget.
bool Dispatcher::RetryTask(Job& job, std::uint32_t index, TimePoint now) {
  if (now >= job.deadline || !retry_budget_.TrySpend()) return false;
  ++counters_.retries;
  job.tasks[index].state = TaskState::kWaiting;
  Enqueue(job, index, true);
  DispatchWaiting(now);
  return true;
}

void Dispatcher::MarkInDoubt(const AttemptId& id, const std::string& why,
                             TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const Attempt attempt = found->second;
  Job& job = jobs_.at(attempt.task->job);
  Task& task = job.tasks[attempt.task->task];
  task.in_doubt = true;
  ++counters_.in_doubt;
  RecordAttemptEvent(EventKind::kInDoubt, now, id, why);
  RevokeAttempt(id);
  if (job.IsRepeatable()) {
    if (!task.attempts.empty()) return;
    if (RetryTask(job, attempt.task->task, now)) return;
  }
  Error error{ErrorCode::kInDoubt, "run", attempt.worker.value(), why,
              Execution::kMayHaveRun};
  FinishTask(job, task, TaskOutcome::Failure(std::move(error)));
  AnswerIfDone(job, now);
}

void Dispatcher::FinishTask(Job& job, Task& task, TaskOutcome outcome) {
  const bool not_run =
      outcome.error && outcome.error->execution == Execution::kNotRun;
  CheckInvariant(Invariant::kNotRunIsTrue, !not_run || !task.MayHaveRun(),
                 "task of " + ToString(job.id) + " reported as not run");
  const bool failed = outcome.status == TaskStatus::kFailed;
  task.outcome = std::move(outcome);
  task.state = TaskState::kDone;
  --job.open_tasks;
  RevokeAttempts(task);
  if (!failed || job.kind != SubmissionKind::kJob || job.open_tasks == 0)
    return;
  // A job with a failed task cannot complete. Its waiting tasks are dropped;
  // the granted ones are waited for, so that their outcomes are known.
  Error reason{ErrorCode::kCancelled, "job", options_.name,
               "another task of the job failed", Execution::kNotRun};
  DropUnstarted(job, reason);
}

void Dispatcher::DropUnstarted(Job& job, const Error& reason) {
  for (Task& task : job.tasks) {
    if (task.state == TaskState::kWaiting) DropTask(job, task, reason);
  }
}

void Dispatcher::DropTask(Job& job, Task& task, Error reason) {
  // Before the key is claimed, another job with the same key may have run.
  if (task.MayHaveRun() || !job.claimed) {
    reason.execution = Execution::kMayHaveRun;
  }
  const bool not_run = reason.execution == Execution::kNotRun;
  CheckInvariant(Invariant::kNotRunIsTrue, !not_run || !task.MayHaveRun(),
                 "dropped task of " + ToString(job.id));
  MarkDequeued(job, task);
  task.outcome = TaskOutcome::Failure(std::move(reason));
  task.state = TaskState::kDone;
  --job.open_tasks;
  RevokeAttempts(task);
}

void Dispatcher::AnswerIfDone(Job& job, TimePoint now) {
  if (job.open_tasks > 0) return;
  JobAnswer answer;
  answer.job = job.id;
  answer.fingerprint = job.fingerprint;
  answer.complete = true;
  for (Task& task : job.tasks) {
    const bool succeeded = task.outcome.status == TaskStatus::kSucceeded;
    answer.complete = answer.complete && succeeded;
    answer.outcomes.push_back(std::move(task.outcome));
  }
  CheckAnswer(job, answer);
  ++(answer.complete ? counters_.answers_complete : counters_.answers_failed);
  RecordEvent(EventKind::kAnswered, now, TaskRef{job.id, 0}, nullptr, "",
              answer.complete ? "complete" : "failed");
  const auto team = tasks_by_team_.find(job.team);
  team->second -= job.tasks.size();
  if (team->second == 0) tasks_by_team_.erase(team);
  actions_.push_back(AnswerJob{std::move(answer)});
  const JobId id = job.id;
  jobs_.erase(id);
}

void Dispatcher::CheckAnswer(const Job& job, const JobAnswer& answer) const {
  const bool is_whole = answer.outcomes.size() == job.tasks.size();
  const bool has_reasons =
      std::ranges::all_of(answer.outcomes, [](const TaskOutcome& outcome) {
        const bool succeeded = outcome.status == TaskStatus::kSucceeded;
        return succeeded != outcome.error.has_value();
      });
  const bool none_open = std::ranges::all_of(job.tasks, [](const Task& task) {
    return task.state == TaskState::kDone && task.attempts.empty();
  });
  CheckInvariant(Invariant::kAnswerCompleteOrFailed,
                 is_whole && has_reasons && none_open,
                 "answer of " + ToString(job.id));
}

}  // namespace geranium
