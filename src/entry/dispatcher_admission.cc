#include <algorithm>
#include <string>
#include <utility>

#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kMaxDeadline{600'000};
constexpr double kDefaultRunMs = 200;

/// Share of the queue limit up to which each class is admitted, so that the
/// lowest class is refused first.
constexpr std::array<double, kTaskClassCount> kQueueShare = {1.0, 0.8, 0.5};

}  // namespace

Error Dispatcher::MakeRefusal(ErrorCode code, std::string step,
                              std::string message) const {
  return Error{code, std::move(step), options_.name, std::move(message),
               Execution::kNotRun};
}

Result<JobId> Dispatcher::Submit(Submission submission, bool claimed,
                                 TimePoint now) {
  ++counters_.submissions;
  const ServiceSpec* service = configuration_.FindService(submission.service);
  if (service == nullptr) {
    ++counters_.refused;
    return MakeRefusal(ErrorCode::kUnknownService, "admit",
                       "no service '" + submission.service.value() + "'");
  }
  const TaskClass task_class =
      submission.task_class.value_or(service->task_class);
  const Duration deadline = std::min(
      kMaxDeadline, submission.deadline.value_or(options_.default_deadline));
  if (auto refusal =
          CheckAdmission(submission, *service, task_class, deadline, now)) {
    ++counters_.refused;
    return *refusal;
  }
  submission.task_class = task_class;
  submission.deadline = deadline;
  Job job = MakeJob(std::move(submission), *service, claimed, now);
  const JobId id = job.id;
  Job& admitted = jobs_.emplace(id, std::move(job)).first->second;
  tasks_by_team_[admitted.team] += admitted.tasks.size();
  AddTimer(admitted.deadline, TimerKind::kDeadline, TaskRef{id, 0});
  RecordEvent(EventKind::kSubmitted, now, TaskRef{id, 0}, nullptr, "",
              admitted.service.name.value());
  // A job must not start before its key is claimed, and offers made until then
  // would only reserve slots.
  if (claimed) EnqueueAll(admitted);
  DispatchWaiting(now);
  return id;
}

Job Dispatcher::MakeJob(Submission submission, const ServiceSpec& service,
                        bool claimed, TimePoint now) {
  Job job;
  job.id = JobId{options_.incarnation, next_job_++};
  job.kind = submission.kind;
  job.service = service;
  job.team = submission.team;
  job.weight = configuration_.Team(submission.team).weight;
  job.task_class = *submission.task_class;
  job.fingerprint = submission.fingerprint;
  job.submitted = now;
  job.deadline = now + *submission.deadline;
  job.claimed = claimed;
  for (TaskSpec& spec : submission.tasks) {
    Task task;
    task.spec = std::move(spec);
    job.tasks.push_back(std::move(task));
  }
  job.open_tasks = job.tasks.size();
  return job;
}

std::optional<Error> Dispatcher::CheckAdmission(const Submission& submission,
                                                const ServiceSpec& service,
                                                TaskClass task_class,
                                                Duration deadline,
                                                TimePoint now) const {
  if (!configuration_fresh_) {
    return MakeRefusal(
        ErrorCode::kLogOutage, "admit",
        "the configuration has not been confirmed within the freshness limit");
  }
  if (submission.tasks.empty()) {
    return MakeRefusal(ErrorCode::kMalformed, "admit", "the job has no tasks");
  }
  if (!workers_.HasWorkers(service.name)) {
    return MakeRefusal(ErrorCode::kUnavailable, "admit",
                       "no worker serves '" + service.name.value() + "'");
  }
  for (const TaskSpec& task : submission.tasks) {
    if (workers_.FitsAnyWorker(service.name, task.size)) continue;
    return MakeRefusal(
        ErrorCode::kFitsNoWorker, "admit",
        "a task is larger than every worker of '" + service.name.value() + "'");
  }
  if (auto refusal = CheckQuota(submission)) return refusal;
  return CheckQueueLimit(submission, task_class, deadline, now);
}

std::optional<Error> Dispatcher::CheckQuota(
    const Submission& submission) const {
  const TeamSpec team = configuration_.Team(submission.team);
  const std::size_t share =
      (static_cast<std::size_t>(team.quota) + entry_count_ - 1) / entry_count_;
  const auto found = tasks_by_team_.find(submission.team);
  const std::size_t held = found == tasks_by_team_.end() ? 0 : found->second;
  if (held + submission.tasks.size() <= share) return std::nullopt;
  return MakeRefusal(ErrorCode::kOverQuota, "admit",
                     "team '" + submission.team.value() + "' has " +
                         std::to_string(held) + " of " + std::to_string(share) +
                         " tasks here");
}

std::optional<Error> Dispatcher::CheckQueueLimit(const Submission& submission,
                                                 TaskClass task_class,
                                                 Duration deadline,
                                                 TimePoint now) const {
  const double share = kQueueShare[static_cast<std::size_t>(task_class)];
  const auto bound = static_cast<std::size_t>(
      share * static_cast<double>(options_.queue_limit));
  if (waiting_tasks_ + submission.tasks.size() > bound) {
    return MakeRefusal(
        ErrorCode::kOverloaded, "admit",
        "the queue for class " + std::string(Name(task_class)) + " is full");
  }
  const Duration wait = ExpectedWait(submission.service, task_class, now);
  if (wait <= deadline) return std::nullopt;
  return MakeRefusal(ErrorCode::kOverloaded, "admit",
                     "the expected wait of " + std::to_string(wait.ms()) +
                         " ms is past the deadline");
}

// Mean run time times the tasks waiting in this class and more urgent ones,
// over this entry's share of the usable slots.
Duration Dispatcher::ExpectedWait(const ServiceName& service,
                                  TaskClass task_class, TimePoint now) const {
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(task_class); ++i) {
    ahead += waiting_by_class_[i];
  }
  if (ahead == 0) return Duration(0);
  const auto found = mean_run_ms_.find(service);
  const double mean =
      found == mean_run_ms_.end() ? kDefaultRunMs : found->second;
  const double slots =
      std::max(1.0, static_cast<double>(workers_.UsableSlots(service, now)) /
                        static_cast<double>(entry_count_));
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(ahead) * mean / slots));
}

void Dispatcher::OnClaimDecided(const JobId& id,
                                const std::optional<Error>& refusal,
                                TimePoint now) {
  Job* job = FindMutableJob(id);
  if (job == nullptr || job->claimed) return;
  if (refusal) {
    DropUnstarted(*job, *refusal);
    AnswerIfDone(*job, now);
    DispatchWaiting(now);
    return;
  }
  job->claimed = true;
  EnqueueAll(*job);
  DispatchWaiting(now);
}

void Dispatcher::CancelJob(const JobId& id, const Error& reason,
                           TimePoint now) {
  Job* job = FindMutableJob(id);
  if (job == nullptr) return;
  DropUnstarted(*job, reason);
  for (Task& task : job->tasks) {
    if (task.state == TaskState::kDone) continue;
    Error error = reason;
    error.execution = Execution::kMayHaveRun;
    FinishTask(*job, task, TaskOutcome::Failure(std::move(error)));
  }
  AnswerIfDone(*job, now);
  DispatchWaiting(now);
}

}  // namespace geranium
