#ifndef GERANIUM_STANDINS_SIZED_WORKER_H_
#define GERANIUM_STANDINS_SIZED_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "contract/step_job.h"
#include "worker/worker_calls.h"

namespace geranium::standins {

/// What a task really is, whatever its job says.
struct TaskBehaviour {
  Duration work;  ///< On a sound worker in its rack.
  Resources size;
  std::string rack;
  bool fails = false;
};

/// What can be wrong with a worker.
struct WorkerFaults {
  double slowdown = 1;  ///< Work takes this many times as long.
  bool fails_all = false;
  bool hangs = false;
  bool silent = false;    ///< It takes and answers nothing, and runs on.
  double unanswered = 0;  ///< Share of orders carried out late, unanswered.
};

/// A model of a backend server that runs sized tasks under a lease and starts
/// whatever it is told to. Time comes from outside.
class SizedWorker {
 public:
  using FindBehaviour = std::function<TaskBehaviour(const TaskName&)>;

  static constexpr double kOtherRackFactor = 1.5;

  SizedWorker(WorkerAnnouncement self, FindBehaviour find_behaviour);

  OrderOutcome Start(const StartRun& order, TimePoint now);
  OrderOutcome Stop(const StopRun& order, TimePoint now);
  /// The listing at this moment.
  PollOutcome Poll(const PollRuns& order, TimePoint now);
  /// True if an end is listed beyond the one that is acknowledged.
  bool HasUnacknowledgedEnd(std::uint64_t acknowledged) const;
  void Advance(TimePoint now);
  /// Begins a new life that knows nothing of the last.
  void Restart(TimePoint now);

  WorkerAnnouncement Announce(TimePoint now);
  WorkerFaults& faults() { return faults_; }
  void SetDraining(bool draining) { self_.draining = draining; }
  std::vector<TaskRun> running() const;
  Resources in_use() const;
  const WorkerAnnouncement& self() const { return self_; }

 private:
  struct Running {
    TaskBehaviour task;
    double done_ms = 0;
  };

  void EndRun(const TaskRun& run, RunEnd end);
  std::int64_t ClockMs(TimePoint now) const {
    return now.ms() - started_at_.ms();
  }
  bool IsLocal(const std::string& rack) const;

  WorkerAnnouncement self_;
  FindBehaviour find_behaviour_;
  WorkerFaults faults_;
  TimePoint started_at_;
  TimePoint last_advanced_;
  std::uint64_t fencing_token_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::map<TaskRun, Running> running_;
  std::map<TaskName, std::uint64_t> highest_ended_run_;
  std::vector<EndedRun> ended_;
  std::uint64_t next_end_number_ = 1;
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_SIZED_WORKER_H_
