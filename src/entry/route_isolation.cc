#include "entry/route_isolation.h"

#include <algorithm>

namespace geranium {
namespace {

/// A job is given up once this many workers have crashed shortly after the
/// start of one of its tasks ...
constexpr int kMaxCrashesAtStart = 2;
/// ... or this many while it ran.
constexpr std::uint32_t kMaxCrashes = 3;
/// One in this many workers is kept for the isolated routes of its service.
constexpr std::size_t kIsolatedWorkerDivisor = 4;
/// Tolerance for rounding in sums of CPU shares.
constexpr double kCpuEpsilon = 1e-6;

}  // namespace

std::string RouteIsolation::OnCrash(const std::vector<TaskName>& suspects,
                                    const std::vector<std::string>& routes,
                                    TimePoint now) {
  for (const TaskName& task : suspects) history_.AddSuspect(task, now);
  return history_.OnCrash(routes, now);
}

int RouteIsolation::CountCrashesAtStart(const OpenStepJob& job,
                                        std::size_t step,
                                        std::size_t task) const {
  if (!history_.has_suspects()) return 0;
  return history_.CountCrashes(NameOf(job, step, task));
}

bool RouteIsolation::IsGivenUp(const OpenStepJob& job) const {
  return job.most_crashes >= kMaxCrashes ||
         history_.CountCrashesOfJob(job.spec.id) >= kMaxCrashesAtStart;
}

// With no other route to protect, isolation would only leave workers idle.
bool RouteIsolation::IsNoneProtected(const Route& route) const {
  return std::none_of(
      table_->routes.begin(), table_->routes.end(), [&](const Route& other) {
        return other.service == route.service && !IsIsolated(other);
      });
}

// All entries keep the same workers for the isolated routes without an exchange
// of messages: those of the agents with the lowest incarnations, which do not
// change when a worker crashes.
std::vector<std::string> RouteIsolation::Update(TimePoint now) {
  const bool exposed =
      std::any_of(agents_.begin(), agents_.end(), [&](Incarnation agent) {
        const KnownWorker* worker = workers_.Find(agent);
        return worker != nullptr && worker->report.accepting;
      });
  std::vector<std::string> ended = history_.OnTick(exposed, now);
  agents_.clear();
  if (history_.empty() || table_ == nullptr) return ended;
  std::set<ServiceName> services;
  for (const Route& route : table_->routes) {
    if (IsIsolated(route) && !IsNoneProtected(route)) {
      services.insert(route.service);
    }
  }
  for (const ServiceName& service : services) {
    std::vector<Incarnation> agents;
    for (const auto& [agent, worker] : workers_.workers()) {
      const bool of_service = worker.card && worker.card->service == service;
      if (of_service && worker.link) agents.push_back(agent);
    }
    if (agents.size() < 2) continue;
    agents.resize((agents.size() + kIsolatedWorkerDivisor - 1) /
                  kIsolatedWorkerDivisor);
    agents_.insert(agents.begin(), agents.end());
  }
  return ended;
}

// A task that may have crashed a worker runs alone, and only while most of the
// workers kept for isolated routes are up, so that other jobs are served there.
bool RouteIsolation::MayRun(const KnownWorker& worker, const Route& route,
                            bool is_suspect) const {
  if (agents_.empty()) return true;
  const bool kept = agents_.contains(worker.agent);
  if (!IsIsolated(route)) return !kept;
  if (!kept) return false;
  if (!is_suspect) return true;
  const auto up = static_cast<std::size_t>(
      std::count_if(agents_.begin(), agents_.end(), [&](Incarnation agent) {
        const KnownWorker* found = workers_.Find(agent);
        return found != nullptr && found->report.accepting;
      }));
  const bool most_up = 2 * up > agents_.size();
  const double in_use = worker.card->capacity.cpu - worker.report.free.cpu;
  return most_up && worker.attempts.empty() && in_use < kCpuEpsilon;
}

}  // namespace geranium
