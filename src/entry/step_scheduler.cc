#include "entry/step_scheduler.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

/// Retry-after where no backlog is the reason.
constexpr Duration kRetryAfter{1000};
/// In cores; avoids a division by zero while there is no worker.
constexpr double kMinCapacity = 0.1;

}  // namespace

StepScheduler::StepScheduler(StepSchedulerOptions options)
    : options_(std::move(options)),
      admission_(options_.admission),
      queue_(options_.queue_order),
      isolation_(workers_),
      placement_(options_.placement, workers_, isolation_),
      attempts_(options_.incarnation),
      urgent_reserve_(options_.urgent_reserve) {}

void StepScheduler::SetRouteTable(const RouteTable* table) {
  table_ = table;
  isolation_.SetRouteTable(table);
  placement_.SetRouteTable(table);
}

std::vector<StepAction> StepScheduler::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<StepJobId> StepScheduler::TakeRelinquished() {
  return std::exchange(relinquished_, {});
}

std::vector<StepJobId> StepScheduler::TakeEnded() {
  return std::exchange(ended_, {});
}

// ---- admission

std::string StepScheduler::UnsupportedReason(const StepJob& job,
                                             const Route& route) {
  if (job.durable) return "stored jobs are not supported";
  if (job.repetitions > 0) return "scheduled jobs are not supported";
  if (route.uses_policy_service) return "queues with advice are not supported";
  for (const StepSpec& step : job.steps) {
    for (const StepFeature feature : step.features) {
      switch (feature) {
        case StepFeature::kGang:
          return "gangs are not supported";
        case StepFeature::kLongRunning:
          return "long-running steps are not supported";
        case StepFeature::kFill:
          return "steps that fill unused capacity are not supported";
        case StepFeature::kLatencyTarget:
          return "steps with a latency target are not supported";
      }
    }
  }
  return "";
}

Duration StepScheduler::CriticalPath(const StepJob& job) {
  std::vector<Duration> ends;
  Duration longest;
  for (const StepSpec& step : job.steps) {
    Duration begin;
    for (const std::size_t earlier : step.dependencies) {
      begin = std::max(begin, ends.at(earlier));
    }
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

void StepScheduler::Submit(CallerHandle caller, StepJob spec,
                           const Route& route, Duration caller_timeout,
                           Precedent precedent, TimePoint now) {
  ++counters_.submitted;
  const JobNumber number = next_job_++;
  OpenStepJob job;
  job.number = number;
  job.caller = caller;
  job.route = route;
  job.submitted = now;
  job.held = precedent.hold;
  job.may_have_run = precedent.may_have_run;
  job.deadlines =
      admission_.DeadlinesOf(CriticalPath(spec), route, caller_timeout, now);
  const std::string unsupported = UnsupportedReason(spec, route);
  bool fits = true;
  for (StepSpec& step : spec.steps) {
    step.size.cpu = std::max(step.size.cpu, options_.min_task_cpu);
    fits = fits && workers_.FitsAny(step, route.service);
  }
  job.spec = std::move(spec);
  job.AddSteps();
  const auto [inserted, is_new] = jobs_.emplace(number, std::move(job));
  OpenStepJob& kept = inserted->second;
  by_caller_[caller] = number;
  by_id_[kept.spec.id] = number;
  if (AnswerIfGivenUp(kept, now)) {
    // An earlier entry had it.
  } else if (!unsupported.empty()) {
    Answer(kept, StepAnswer::kUnsupported, kRetryAfter, unsupported, now);
  } else if (!fits && !discovering_) {
    Answer(kept, RefusalOf(kept), kRetryAfter,
           "no known worker of the service has the required capacity and label",
           now);
  } else if (LacksIsolatedRoom(kept, now)) {
    Answer(kept, RefusalOf(kept), kRetryAfter,
           "jobs of the route crash workers, and the few kept for it are busy",
           now);
  } else if (const Backlog backlog = EstimateBacklog(kept);
             !discovering_ &&
             admission_.IsQueueTooLong(kept.deadlines, backlog, now)) {
    Answer(kept, RefusalOf(kept), Admission::RetryAfter(kept.spec.id, backlog),
           "the expected queueing time is too long for the objective", now);
  } else {
    LogAdmitted(kept, backlog.in_time);
    if (route.priority == kMostUrgentPriority) {
      urgent_reserve_.OnAdmitted(CoreMs(kept.spec), now);
    }
    for (std::size_t step = 0; step < kept.steps.size(); ++step) {
      if (kept.steps[step].unmet_dependencies == 0) kept.Unblock(step);
    }
    if (kept.waiting > 0) queue_.Insert(kept);
  }
  EraseIfDone(number);
}

// A refusal says that nothing of the job has run or will run, which is not
// known of a job that an earlier entry had.
StepAnswer StepScheduler::RefusalOf(const OpenStepJob& job) {
  return job.may_have_run ? StepAnswer::kAbandoned : StepAnswer::kRefused;
}

double StepScheduler::Cores() const {
  return std::max(capacity_share_, kMinCapacity);
}

void StepScheduler::RequeueLateJobs(TimePoint now) {
  for (const JobNumber number : queue_.Jobs()) {
    OpenStepJob& job = jobs_.at(number);
    const bool is_late =
        !job.late && !job.may_have_run && now > job.deadlines.latest_start;
    if (is_late) queue_.MarkLate(job);
  }
}

void StepScheduler::OnCallerGone(CallerHandle caller, TimePoint now) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return;
  const JobNumber number = found->second;
  ++counters_.cancelled;
  Answer(jobs_.at(number), StepAnswer::kAbandoned, Duration(0),
         "the caller disconnected", now);
  EraseIfDone(number);
}

bool StepScheduler::Cancel(const StepJobId& id, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return false;
  const JobNumber number = found->second;
  ++counters_.cancelled;
  Answer(jobs_.at(number), StepAnswer::kFailed, Duration(0), "cancelled", now);
  EraseIfDone(number);
  return true;
}

std::size_t StepScheduler::CountPending(const Route& route) const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& item) {
        const OpenStepJob& job = item.second;
        return !job.answered && !job.may_have_run &&
               job.route.name == route.name;
      }));
}

std::vector<StepJobId> StepScheduler::OpenJobs(TimePoint latest) const {
  std::set<StepJobId> open;
  for (const auto& [number, job] : jobs_) {
    if (job.submitted > latest) break;  // Numbered in order of submission.
    open.insert(job.spec.id);
  }
  return {open.begin(), open.end()};
}

// A job that another entry may run must not be refused as not run.
void StepScheduler::Hold(const StepJobId& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  OpenStepJob& job = jobs_.at(found->second);
  job.held = true;
  job.may_have_run = true;
}

void StepScheduler::Release(const StepJobId& id, bool is_first, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  OpenStepJob& job = jobs_.at(found->second);
  job.held = false;
  if (is_first) job.may_have_run = false;
  PlaceWaitingTasks(now);
}

void StepScheduler::Relinquish(const StepJobId& id, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    if (!being_relinquished_.contains(id)) relinquished_.push_back(id);
    return;
  }
  const JobNumber number = found->second;
  OpenStepJob& job = jobs_.at(number);
  if (job.relinquished) return;
  job.relinquished = true;
  ++being_relinquished_[id];
  if (!job.answered) {
    Answer(job, StepAnswer::kAbandoned, Duration(0),
           "the job was submitted again and is taken over", now);
  }
  EraseIfDone(number);
}

Duration StepScheduler::WorkTime(const StepJob& job) const {
  return Duration(static_cast<std::int64_t>(CoreMs(job) / Cores()));
}

std::size_t StepScheduler::AbandonOpenJobs(const std::string& reason,
                                           TimePoint now) {
  std::vector<JobNumber> open;
  for (const auto& [caller, number] : by_caller_) open.push_back(number);
  for (const JobNumber number : open) {
    Answer(jobs_.at(number), StepAnswer::kAbandoned, Duration(0), reason, now);
    EraseIfDone(number);
  }
  return open.size();
}

// ---- placing

void StepScheduler::OnTick(TimePoint now) {
  workers_.Update();
  placement_.Update(now);
  capacity_share_ = workers_.CapacityShare(isolation_.agents(), now);
  placement_.SetUrgentReserve(urgent_reserve_.Fraction(capacity_share_, now));
  ExpireSilentWorkers(now);
  UpdateIsolation(now);
  ExpireJobs(now);
  RefuseIsolatedJobs(now);
  RequeueLateJobs(now);
  if (options_.refuse_late && !discovering_) RefuseLateJobs(now);
  PlaceWaitingTasks(now);
}

void StepScheduler::ExpireJobs(TimePoint now) {
  std::vector<JobNumber> expired;
  for (const auto& [number, job] : jobs_) {
    if (job.answered) continue;
    const TimePoint end = job.may_have_run ? job.deadlines.answer_deadline
                                           : job.deadlines.start_deadline;
    if (now >= end) expired.push_back(number);
  }
  std::vector<JobNumber> refused;
  for (const JobNumber number : expired) {
    OpenStepJob& job = jobs_.at(number);
    if (!job.may_have_run) {
      refused.push_back(number);
      continue;
    }
    Answer(job, StepAnswer::kAbandoned, Duration(0),
           "the caller's timeout expired", now);
    EraseIfDone(number);
  }
  RefuseWaiting(refused,
                "no worker had free capacity before the start deadline", now);
}

// Thousands of jobs may be refused at once, so the queue is summed up once.
void StepScheduler::RefuseWaiting(const std::vector<JobNumber>& refused,
                                  const std::string& reason, TimePoint now) {
  if (refused.empty()) return;
  double core_ms = queue_.WaitingCoreMs(jobs_);
  for (const JobNumber number : refused) {
    OpenStepJob& job = jobs_.at(number);
    const Duration total(static_cast<std::int64_t>(core_ms / Cores()));
    core_ms -= job.WaitingCoreMs();
    Answer(job, StepAnswer::kRefused,
           Admission::RetryAfter(job.spec.id, Backlog{{}, total}), reason, now);
    EraseIfDone(number);
  }
}

// Nothing of these jobs has run, so the refusal is true, and their callers
// learn at once what they would learn at the deadline.
void StepScheduler::RefuseLateJobs(TimePoint now) {
  if (!late_jobs_.IsUnderPressure(now)) return;
  double ahead = 0;
  std::vector<JobNumber> refused;
  for (const JobNumber number : queue_.LateJobs()) {
    const OpenStepJob& job = jobs_.at(number);
    const double core_ms = job.WaitingCoreMs();
    const bool stays = job.may_have_run ||
                       late_jobs_.CanStartBy(ahead + core_ms,
                                             job.deadlines.start_deadline, now);
    if (stays) {
      ahead += core_ms;
    } else {
      refused.push_back(number);
    }
  }
  counters_.refused_late += refused.size();
  RefuseWaiting(refused, "it is late and could not start before its deadline",
                now);
}

void StepScheduler::LogAdmitted(const OpenStepJob& job,
                                Duration expected_wait) {
  std::size_t tasks = 0;
  for (const StepProgress& step : job.steps) tasks += step.tasks.size();
  Log(LogLevel::kInfo, "job_admitted",
      {{"job", job.spec.id.value()},
       {"route", job.route.name},
       {"priority", std::to_string(job.route.priority)},
       {"tasks", std::to_string(tasks)},
       {"estimate_ms", std::to_string(CriticalPath(job.spec).ms())},
       {"expected_wait_ms", std::to_string(expected_wait.ms())},
       {"held", job.held ? "true" : "false"},
       {"table_version",
        std::to_string(table_ == nullptr ? 0 : table_->version)}});
}

void StepScheduler::Send(LinkId link, Message message) {
  actions_.emplace_back(SendMessage{link, std::move(message)});
}

void StepScheduler::Log(LogLevel level, const std::string& event,
                        LogFields fields) {
  actions_.emplace_back(LogMessage{level, event, std::move(fields)});
}

}  // namespace geranium
