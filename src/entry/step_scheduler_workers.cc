#include <algorithm>
#include <optional>
#include <utility>

#include "entry/step_scheduler.h"

namespace geranium {
namespace {

/// Added to a run number that a worker rejected as too low.
constexpr std::uint64_t kRunNumberIncrement = 8;

}  // namespace

void StepScheduler::On(LinkId link, const TaskEnd& end, TimePoint now) {
  Send(link, TaskEndAck{end.attempt});
  EndAttempt(end.attempt, end.end, end.reason, now);
}

void StepScheduler::EndAttempt(const AttemptId& id, AttemptEnd end,
                               const std::string& reason, TimePoint now) {
  const std::optional<OpenAttempt> closed = attempts_.Close(id);
  if (!closed) return;
  const OpenAttempt& attempt = *closed;
  KnownWorker* worker = workers_.Find(attempt.agent);
  if (worker != nullptr) worker->attempts.erase(id);
  OpenStepJob& job = jobs_.at(attempt.job);
  StepTask& task = job.steps[attempt.step].tasks[attempt.task];
  task.attempt.reset();
  --job.open_attempts;
  StepProgress& progress = job.steps[attempt.step];
  if (const auto open = progress.open_at.find(attempt.agent);
      open != progress.open_at.end() && --open->second == 0) {
    progress.open_at.erase(open);
  }
  if (!job.answered) {
    if (end != AttemptEnd::kDone) {
      LogReturned(job, attempt, worker, end, reason, now);
    }
    switch (end) {
      case AttemptEnd::kDone:
        OnTaskDone(job, attempt.step, task, now);
        break;
      case AttemptEnd::kFailed:
        OnTaskFailed(job, attempt.step, task, worker, now);
        break;
      case AttemptEnd::kSuperseded:
        task.run += kRunNumberIncrement;
        ++counters_.returned;
        job.Requeue(attempt.step, task);
        break;
      case AttemptEnd::kNotStarted:
        ++counters_.returned;
        job.Requeue(attempt.step, task);
        break;
      case AttemptEnd::kStopped:
        ++counters_.stopped;
        if (worker != nullptr && worker->card &&
            (reason == "stalled" || reason == "slow")) {
          task.avoid_worker = worker->card->id;
        }
        job.Requeue(attempt.step, task);
        break;
      case AttemptEnd::kCrashed:
        OnTaskCrashed(job, attempt.step, task, now);
        break;
    }
    if (!job.answered && job.waiting > 0) {
      queue_.Insert(job);
    }
  }
  EraseIfDone(attempt.job);
}

void StepScheduler::LogReturned(const OpenStepJob& job,
                                const OpenAttempt& attempt,
                                const KnownWorker* worker, AttemptEnd end,
                                const std::string& reason, TimePoint now) {
  const StepTask& task = job.steps[attempt.step].tasks[attempt.task];
  Log(LogLevel::kInfo, "attempt_returned",
      {{"job", job.spec.id.value()},
       {"step", std::to_string(attempt.step)},
       {"task", std::to_string(attempt.task)},
       {"run", std::to_string(task.run)},
       {"worker",
        worker != nullptr && worker->card ? worker->card->id.value() : ""},
       {"end", std::string(Name(end))},
       {"reason", reason},
       {"failures", std::to_string(task.failures)},
       {"age_ms", std::to_string((now - attempt.sent).ms())}});
}

void StepScheduler::OnTaskDone(OpenStepJob& job, std::size_t step,
                               StepTask& task, TimePoint now) {
  job.OnTaskDone(step, task);
  if (job.IsDone()) Answer(job, StepAnswer::kCompleted, Duration(0), "", now);
}

// A failure at a worker that fails most of its runs says nothing about the
// task, so it is not counted.
void StepScheduler::OnTaskFailed(OpenStepJob& job, std::size_t step,
                                 StepTask& task, const KnownWorker* worker,
                                 TimePoint now) {
  const bool worker_at_fault = worker != nullptr && worker->report.failing;
  if (worker != nullptr && worker->card) task.avoid_worker = worker->card->id;
  if (!worker_at_fault) ++task.failures;
  if (task.failures >= job.route.max_attempts) {
    Answer(job, StepAnswer::kFailed, Duration(0),
           "a task failed in each of its allowed attempts", now);
    return;
  }
  job.Requeue(step, task);
}

void StepScheduler::Answer(OpenStepJob& job, StepAnswer answer,
                           Duration retry_after, const std::string& reason,
                           TimePoint now) {
  if (job.answered) return;
  job.answered = true;
  by_caller_.erase(job.caller);
  if (job.may_have_run) ended_.push_back(job.spec.id);
  switch (answer) {
    case StepAnswer::kCompleted:
      ++counters_.completed;
      break;
    case StepAnswer::kFailed:
      ++counters_.failed;
      break;
    case StepAnswer::kAbandoned:
      ++counters_.abandoned;
      break;
    default:
      ++counters_.refused;
  }
  if (answer == StepAnswer::kCompleted) {
    Log(LogLevel::kInfo, "job_completed",
        {{"job", job.spec.id.value()},
         {"age_ms", std::to_string((now - job.submitted).ms())},
         {"orders", std::to_string(job.orders)}});
  } else {
    Log(LogLevel::kInfo, "job_not_completed",
        {{"job", job.spec.id.value()},
         {"route", job.route.name},
         {"answer", std::string(Name(answer))},
         {"reason", reason},
         {"age_ms", std::to_string((now - job.submitted).ms())},
         {"waiting_tasks", std::to_string(job.waiting)},
         {"open_attempts", std::to_string(job.open_attempts)}});
  }
  actions_.emplace_back(AnswerStepJob{job.caller, answer, retry_after, reason});
  StopRuns(job);
}

void StepScheduler::StopRuns(OpenStepJob& job) {
  for (const StepProgress& step : job.steps) {
    for (const StepTask& task : step.tasks) {
      if (!task.attempt) continue;
      const KnownWorker* worker =
          workers_.Find(attempts_.At(*task.attempt).agent);
      if (worker->link) Send(*worker->link, StopTask{*task.attempt});
    }
  }
}

void StepScheduler::EraseIfDone(JobNumber number) {
  const auto found = jobs_.find(number);
  OpenStepJob& job = found->second;
  if (!job.answered) return;
  queue_.Erase(job);
  if (job.open_attempts > 0) return;
  if (job.relinquished) {
    const auto relinquished = being_relinquished_.find(job.spec.id);
    if (--relinquished->second == 0) {
      being_relinquished_.erase(relinquished);
      relinquished_.push_back(job.spec.id);
    }
  }
  const auto by_id = by_id_.find(job.spec.id);
  if (by_id != by_id_.end() && by_id->second == number) by_id_.erase(by_id);
  jobs_.erase(found);
}

// ---- workers

void StepScheduler::OnWorkerLinkUp(LinkId link, Incarnation agent,
                                   TimePoint now) {
  workers_.OnLinkUp(link, agent, now);
}

void StepScheduler::OnWorkerLinkDown(LinkId link, TimePoint now) {
  const KnownWorker* worker = workers_.OnLinkDown(link);
  if (worker == nullptr) return;
  Log(LogLevel::kWarning, "worker_link_down",
      {{"worker", worker->card ? worker->card->id.value() : ""},
       {"open_attempts", std::to_string(worker->attempts.size())},
       {"heard_ms_ago", std::to_string((now - worker->last_heard).ms())}});
}

void StepScheduler::OnLinkActivity(LinkId link, TimePoint now) {
  KnownWorker* worker = workers_.FindByLink(link);
  if (worker != nullptr) worker->last_heard = now;
}

// Runs that an agent's predecessor had started have all ended once it reports
// itself settled. A card of the predecessor may still arrive, over an older
// link.
void StepScheduler::On(LinkId link, const WorkerCard& card, TimePoint now) {
  KnownWorker* worker = workers_.FindByLink(link);
  if (worker == nullptr) return;
  worker->card = card;
  if (!card.previous_runs_ended) return;
  for (auto& [agent, other] : workers_.workers()) {
    const bool replaced = other.newest_link < worker->newest_link &&
                          other.card && other.card->id == card.id &&
                          !other.attempts.empty();
    if (replaced) MarkWorkerLost(other, "its agent was replaced", now);
  }
}

void StepScheduler::On(LinkId link, const WorkerReport& report, TimePoint now) {
  KnownWorker* worker = workers_.FindByLink(link);
  if (worker == nullptr) return;
  const bool accepted = worker->report.accepting;
  const bool was_on_probation = workers_.IsOnProbation(*worker);
  worker->report = report;
  worker->reported_at = now;
  const bool on_probation = workers_.IsOnProbation(*worker);
  if (accepted == report.accepting && was_on_probation == on_probation) return;
  Log(LogLevel::kInfo, "worker_state",
      {{"worker", worker->card ? worker->card->id.value() : ""},
       {"accepting", report.accepting ? "true" : "false"},
       {"on_probation", on_probation ? "true" : "false"},
       {"failing", report.failing ? "true" : "false"},
       {"slowness", std::to_string(report.slowness)},
       {"median_slowness", std::to_string(workers_.median_slowness())}});
}

void StepScheduler::On(LinkId link, const AttemptList& list, TimePoint now) {
  KnownWorker* worker = workers_.FindByLink(link);
  if (worker == nullptr) return;
  const std::set<AttemptId> held(list.attempts.begin(), list.attempts.end());
  const std::set<AttemptId> expected = worker->attempts;
  for (const AttemptId& id : expected) {
    if (held.contains(id)) {
      const OpenStepJob& job = jobs_.at(attempts_.At(id).job);
      if (job.answered) Send(link, StopTask{id});
      continue;
    }
    EndAttempt(id, AttemptEnd::kNotStarted,
               "the order was lost with the previous link", now);
  }
}

void StepScheduler::MarkWorkerLost(KnownWorker& worker,
                                   const std::string& reason, TimePoint now) {
  const std::set<AttemptId> attempts = worker.attempts;
  if (!attempts.empty()) {
    Log(LogLevel::kWarning, "worker_lost",
        {{"worker", worker.card ? worker.card->id.value() : ""},
         {"why", reason},
         {"attempts", std::to_string(attempts.size())},
         {"heard_ms_ago", std::to_string((now - worker.last_heard).ms())}});
  }
  for (const AttemptId& id : attempts) {
    ++counters_.lost;
    EndAttempt(id, AttemptEnd::kStopped, reason, now);
  }
}

void StepScheduler::ExpireSilentWorkers(TimePoint now) {
  std::vector<Incarnation> gone;
  for (auto& [agent, worker] : workers_.workers()) {
    if (now - worker.last_heard <= kWorkerLostTimeout) continue;
    MarkWorkerLost(worker, "not heard from within the time limit", now);
    if (!worker.link) gone.push_back(agent);
  }
  for (const Incarnation agent : gone) workers_.Erase(agent);
}

}  // namespace geranium
