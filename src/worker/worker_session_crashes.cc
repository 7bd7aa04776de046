#include <algorithm>
#include <set>

#include "worker/worker_session.h"

namespace geranium {
namespace {

/// A run that crashes its worker mostly does so as it starts: those that
/// started within this time before a crash are suspected of it.
constexpr Duration kSuspectPeriod{30};
/// Entries that start within this time after a crash are told of it.
constexpr Duration kCrashMemory{5000};

}  // namespace

// Reports a crash of the worker. Its runs are only marked: they end as before,
// when their leases have expired or the next incarnation does not list them.
void WorkerSession::OnConnectionRefused(TimePoint now) {
  if (crashed_ || !worker_ || worker_->draining || worker_left_) return;
  crashed_ = true;
  ++state_version_;
  ++counters_.crashes;
  const TimePoint suspected_from =
      unanswered_since_.value_or(now) + Duration(-kSuspectPeriod.ms());
  std::set<std::string> routes;
  std::vector<TaskName> suspects;
  std::size_t runs = 0;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued) continue;
    ++runs;
    attempt.crashed = true;
    if (attempt.started_at < suspected_from) continue;
    routes.insert(attempt.order.route);
    // An order without an answer may have come after the crash.
    if (attempt.has_run) suspects.push_back(attempt.order.run.task);
  }
  std::string names;
  for (const std::string& route : routes) {
    names += (names.empty() ? "" : ",") + route;
  }
  Log(LogLevel::kWarning, "worker_crashed",
      {{"worker", worker_->id.value()},
       {"started", std::to_string(started_ms_)},
       {"runs", std::to_string(runs)},
       {"suspect_routes", names}});
  const WorkerCrashed crash{
      worker_->id, {routes.begin(), routes.end()}, suspects};
  for (const auto& [link, peer] : peers_) {
    if (peer.hello) Send(link, crash);
  }
  DropOldCrashes(now);
  recent_crashes_.emplace_back(now, crash);
  ReturnQueued("the worker has crashed", now);
}

void WorkerSession::DropOldCrashes(TimePoint now) {
  std::erase_if(recent_crashes_, [&](const auto& recent) {
    return now - recent.first > kCrashMemory;
  });
}

void WorkerSession::SendRecentCrashes(LinkId link, TimePoint now) {
  DropOldCrashes(now);
  for (const auto& [at, crash] : recent_crashes_) Send(link, crash);
}

}  // namespace geranium
