#ifndef GERANIUM_ENTRY_ROUTE_ISOLATION_H_
#define GERANIUM_ENTRY_ROUTE_ISOLATION_H_

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "entry/crash_history.h"
#include "entry/open_step_job.h"
#include "entry/worker_ledger.h"

namespace geranium {

/// Keeps jobs of routes whose tasks crash workers on a few workers of their
/// service, and gives up jobs under whose tasks several have crashed.
class RouteIsolation {
 public:
  explicit RouteIsolation(const WorkerLedger& workers) : workers_(workers) {}

  void SetRouteTable(const RouteTable* table) { table_ = table; }

  /// Returns the route that is isolated from now on, or an empty string.
  std::string OnCrash(const std::vector<TaskName>& suspects,
                      const std::vector<std::string>& routes, TimePoint now);
  /// Returns the routes that are no longer isolated.
  std::vector<std::string> Update(TimePoint now);

  /// Workers that have crashed shortly after a start of the task.
  int CountCrashesAtStart(const OpenStepJob& job, std::size_t step,
                          std::size_t task) const;
  bool IsGivenUp(const OpenStepJob& job) const;
  /// True if a job that an earlier entry had is already given up.
  bool IsKnownToCrash(const OpenStepJob& job) const {
    return history_.has_suspects() && IsGivenUp(job);
  }

  bool IsIsolated(const Route& route) const {
    return history_.IsIsolated(route.name);
  }
  bool has_isolated_workers() const { return !agents_.empty(); }
  /// Agents whose workers run the isolated routes and nothing else.
  const std::set<Incarnation>& agents() const { return agents_; }
  /// Whether a task of the route may run at the worker; `is_suspect` if it may
  /// have crashed a worker before.
  bool MayRun(const KnownWorker& worker, const Route& route,
              bool is_suspect) const;

 private:
  bool IsNoneProtected(const Route& route) const;

  const WorkerLedger& workers_;
  const RouteTable* table_ = nullptr;
  CrashHistory history_;
  std::set<Incarnation> agents_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_ROUTE_ISOLATION_H_
