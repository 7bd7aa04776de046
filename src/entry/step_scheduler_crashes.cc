#include <algorithm>
#include <utility>

#include "entry/step_scheduler.h"

namespace geranium {
namespace {

/// A job is given up once this many workers have crashed shortly after the
/// start of one of its tasks ...
constexpr int kMaxCrashesAtStart = 2;
/// ... or this many while it ran.
constexpr std::uint32_t kMaxCrashes = 3;
/// One in this many workers is kept for the isolated routes of its service.
constexpr std::size_t kIsolatedWorkerDivisor = 4;
/// A job of an isolated route for which there is no room is refused after this
/// long.
constexpr char kGivenUpReason[] = "workers have crashed under a task";
constexpr Duration kMaxIsolatedWait{30};
constexpr Duration kRetryAfter{1000};
/// Tolerance for rounding in sums of CPU shares.
constexpr double kCpuEpsilon = 1e-6;

}  // namespace

TaskName StepScheduler::NameOf(const Job& job, std::size_t step,
                               std::size_t task) {
  return TaskName(job.spec.id.value() + ".0." + std::to_string(step) + "." +
                  std::to_string(task));
}

int StepScheduler::CrashesAtStart(const Job& job, std::size_t step,
                                  std::size_t task) const {
  if (!crash_history_.has_suspects()) return 0;
  return crash_history_.CountCrashes(NameOf(job, step, task));
}

bool StepScheduler::IsGivenUp(const Job& job) const {
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    for (std::size_t t = 0; t < job.steps[s].tasks.size(); ++t) {
      if (job.steps[s].tasks[t].crashes >= kMaxCrashes ||
          CrashesAtStart(job, s, t) >= kMaxCrashesAtStart) {
        return true;
      }
    }
  }
  return false;
}

void StepScheduler::OnTaskCrashed(Job& job, std::size_t step, std::size_t index,
                                  TimePoint now) {
  StepTask& task = job.steps[step].tasks[index];
  ++counters_.crashed;
  ++task.crashes;
  if (IsGivenUp(job)) {
    Answer(job, StepAnswer::kFailed, Duration(0), kGivenUpReason, now);
  } else {
    RequeueTask(job, step, task);
  }
}

void StepScheduler::On(LinkId link, const WorkerCrashed& crash, TimePoint now) {
  if (FindByLink(link) == nullptr) return;
  for (const TaskName& task : crash.suspects) {
    crash_history_.AddSuspect(task, now);
  }
  const std::string isolated = crash_history_.OnCrash(crash.routes, now);
  if (isolated.empty()) return;
  Log(LogLevel::kWarning, "route_isolated",
      {{"route", isolated}, {"worker", crash.worker.value()}});
  UpdateIsolation(now);
}

// With no other route to protect, isolation would only leave workers idle.
bool StepScheduler::IsNoneProtected(const Route& route) const {
  return std::none_of(table_->routes.begin(), table_->routes.end(),
                      [&](const Route& other) {
                        return other.service == route.service &&
                               !crash_history_.IsIsolated(other.name);
                      });
}

// All entries keep the same workers for the isolated routes without an exchange
// of messages: those of the agents with the lowest incarnations, which do not
// change when a worker crashes.
void StepScheduler::UpdateIsolation(TimePoint now) {
  const bool exposed = std::any_of(
      isolated_agents_.begin(), isolated_agents_.end(), [&](Incarnation agent) {
        const auto worker = workers_.find(agent);
        return worker != workers_.end() && worker->second.report.accepting;
      });
  for (const std::string& route : crash_history_.OnTick(exposed, now)) {
    Log(LogLevel::kInfo, "route_isolation_ended", {{"route", route}});
  }
  isolated_agents_.clear();
  if (crash_history_.empty() || table_ == nullptr) return;
  std::set<ServiceName> services;
  for (const Route& route : table_->routes) {
    if (crash_history_.IsIsolated(route.name) && !IsNoneProtected(route)) {
      services.insert(route.service);
    }
  }
  for (const ServiceName& service : services) {
    std::vector<Incarnation> agents;
    for (const auto& [agent, worker] : workers_) {
      const bool of_service = worker.card && worker.card->service == service;
      if (of_service && worker.link) agents.push_back(agent);
    }
    if (agents.size() < 2) continue;
    agents.resize((agents.size() + kIsolatedWorkerDivisor - 1) /
                  kIsolatedWorkerDivisor);
    isolated_agents_.insert(agents.begin(), agents.end());
  }
}

// A task that may have crashed a worker runs alone, and only while most of the
// workers kept for isolated routes are up, so that other jobs are served there.
bool StepScheduler::MayRunIsolated(const Worker& worker,
                                   const PlacementRequest& request) const {
  if (isolated_agents_.empty()) return true;
  const bool kept = isolated_agents_.contains(worker.agent);
  if (!crash_history_.IsIsolated(request.job->route.name)) return !kept;
  if (!kept) return false;
  if (!request.is_crash_suspect) return true;
  const auto up = static_cast<std::size_t>(std::count_if(
      isolated_agents_.begin(), isolated_agents_.end(), [&](Incarnation agent) {
        const auto found = workers_.find(agent);
        return found != workers_.end() && found->second.report.accepting;
      }));
  const bool most_up = 2 * up > isolated_agents_.size();
  const double in_use = worker.card->capacity.cpu - worker.report.free.cpu;
  return most_up && worker.attempts.empty() && in_use < kCpuEpsilon;
}

bool StepScheduler::AnswerIfGivenUp(Job& job, TimePoint now) {
  if (!crash_history_.has_suspects() || !IsGivenUp(job)) return false;
  Answer(job, StepAnswer::kFailed, Duration(0), kGivenUpReason, now);
  return true;
}

bool StepScheduler::LacksIsolatedRoom(const Job& job, TimePoint now) const {
  if (isolated_agents_.empty() || !crash_history_.IsIsolated(job.route.name)) {
    return false;
  }
  PlacementRequest request;
  request.job = &job;
  request.step = &job.spec.steps.front();
  request.step_state = &job.steps.front();
  const std::optional<WorkerId> avoid_none;
  request.avoid_worker = &avoid_none;
  return std::none_of(workers_.begin(), workers_.end(), [&](const auto& item) {
    return IsEligible(item.second, request, now);
  });
}

void StepScheduler::RefuseIsolatedJobs(TimePoint now) {
  if (isolated_agents_.empty()) return;
  std::vector<JobNumber> refused;
  for (const QueueKey& key : queue_) {
    const Job& job = jobs_.at(key.number);
    if (!job.may_have_run && now - job.submitted > kMaxIsolatedWait &&
        LacksIsolatedRoom(job, now)) {
      refused.push_back(key.number);
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
