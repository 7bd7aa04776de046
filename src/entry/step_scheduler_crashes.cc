#include <algorithm>

#include "entry/step_scheduler.h"

namespace geranium {
namespace {

/// A job of an isolated route for which there is no room is refused after this
/// long.
constexpr Duration kMaxIsolatedWait{30};
constexpr char kGivenUpReason[] = "workers have crashed under a task";
constexpr Duration kRetryAfter{1000};

}  // namespace

void StepScheduler::OnTaskCrashed(OpenStepJob& job, std::size_t step,
                                  StepTask& task, TimePoint now) {
  ++counters_.crashed;
  ++task.crashes;
  job.most_crashes = std::max(job.most_crashes, task.crashes);
  if (isolation_.IsGivenUp(job)) {
    Answer(job, StepAnswer::kFailed, Duration(0), kGivenUpReason, now);
  } else {
    job.Requeue(step, task);
  }
}

void StepScheduler::On(LinkId link, const WorkerCrashed& crash, TimePoint now) {
  if (workers_.FindByLink(link) == nullptr) return;
  const std::string isolated =
      isolation_.OnCrash(crash.suspects, crash.routes, now);
  if (isolated.empty()) return;
  Log(LogLevel::kWarning, "route_isolated",
      {{"route", isolated}, {"worker", crash.worker.value()}});
  UpdateIsolation(now);
}

void StepScheduler::UpdateIsolation(TimePoint now) {
  for (const std::string& route : isolation_.Update(now)) {
    Log(LogLevel::kInfo, "route_isolation_ended", {{"route", route}});
  }
}

bool StepScheduler::AnswerIfGivenUp(OpenStepJob& job, TimePoint now) {
  if (!isolation_.IsKnownToCrash(job)) return false;
  Answer(job, StepAnswer::kFailed, Duration(0), kGivenUpReason, now);
  return true;
}

bool StepScheduler::LacksIsolatedRoom(const OpenStepJob& job,
                                      TimePoint now) const {
  if (!isolation_.has_isolated_workers() || !isolation_.IsIsolated(job.route)) {
    return false;
  }
  return !placement_.HasRoom(PlacementRequest{&job}, now);
}

void StepScheduler::RefuseIsolatedJobs(TimePoint now) {
  if (!isolation_.has_isolated_workers()) return;
  std::vector<JobNumber> refused;
  for (const JobNumber number : queue_.Jobs()) {
    const OpenStepJob& job = jobs_.at(number);
    if (!job.may_have_run && now - job.submitted > kMaxIsolatedWait &&
        LacksIsolatedRoom(job, now)) {
      refused.push_back(number);
    }
  }
  for (const JobNumber number : refused) {
    Answer(jobs_.at(number), StepAnswer::kRefused, kRetryAfter,
           "jobs of the route crash workers, and the few kept for it are busy",
           now);
    EraseIfDone(number);
  }
}

}  // namespace geranium
