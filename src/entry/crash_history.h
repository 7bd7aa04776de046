#ifndef GERANIUM_ENTRY_CRASH_HISTORY_H_
#define GERANIUM_ENTRY_CRASH_HISTORY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/step_job.h"

namespace geranium {

/// Decides from the crashes of workers which routes are isolated: their jobs
/// run only on a few workers, so that the others go on serving the other
/// routes.
class CrashHistory {
 public:
  /// Tasks beyond this number are not suspected. A worker runs a few dozen, and
  /// crashes at most every few seconds.
  static constexpr std::size_t kMaxSuspects = 10'000;

  /// A worker has crashed shortly after the start of `task`.
  void AddSuspect(const TaskName& task, TimePoint now);
  /// Workers that have crashed shortly after the start of the task.
  int CountCrashes(const TaskName& task) const;
  /// The highest count of all tasks of the job.
  int CountCrashesOfJob(const StepJobId& job) const;
  bool has_suspects() const { return !suspects_.empty(); }
  /// A worker has crashed shortly after tasks of `routes` had started there.
  /// Returns the route that is isolated from now on, or an empty string.
  std::string OnCrash(const std::vector<std::string>& routes, TimePoint now);
  /// `exposed`: jobs of the isolated routes can run now. Returns the routes
  /// that are no longer isolated.
  std::vector<std::string> OnTick(bool exposed, TimePoint now);

  bool IsIsolated(const std::string& route) const {
    return clean_for_.contains(route);
  }
  bool empty() const { return clean_for_.empty(); }

 private:
  struct Crash {
    TimePoint at;
    std::set<std::string> routes;
  };

  struct Suspect {
    int crashes = 0;
    TimePoint last;
  };

  std::string MostSuspected() const;
  void ForgetOldSuspects(TimePoint now);

  std::unordered_map<TaskName, Suspect> suspects_;
  std::unordered_map<StepJobId, Suspect> suspect_jobs_;
  std::deque<Crash> unexplained_;  ///< By a route that is isolated.
  /// Isolated routes, and how long their jobs could run without a crash.
  std::map<std::string, Duration> clean_for_;
  TimePoint last_tick_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_CRASH_HISTORY_H_
