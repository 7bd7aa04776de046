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
struct TaskTruth {
  Duration work;  ///< On a sound worker in its rack.
  Resources size;
  std::string rack;
  bool fails = false;
};

/// What can be wrong with a worker.
struct WorkerFaults {
  double slow = 1;  ///< Work takes this many times as long.
  bool fails_all = false;
  bool hangs = false;
  bool silent = false;    ///< It takes and answers nothing, and runs on.
  double unanswered = 0;  ///< Share of orders carried out late, unanswered.
};

/// A model of a backend server that runs sized tasks under a lease and starts
/// whatever it is told to. Time comes from outside.
class SizedWorker {
 public:
  using FindTruth = std::function<TaskTruth(const TaskName&)>;

  static constexpr double kOtherRackFactor = 1.5;

  SizedWorker(WorkerAnnouncement self, FindTruth find_truth);

  OrderOutcome Start(const StartRun& order, TimePoint now);
  OrderOutcome Stop(const StopRun& order, TimePoint now);
  /// The listing at this moment.
  PollOutcome Poll(const PollRuns& order, TimePoint now);
  /// True if an end is listed beyond the one that is acknowledged.
  bool HasEnd(std::uint64_t acknowledged) const;
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
    TaskTruth truth;
    double done_ms = 0;
  };

  void End(const TaskRun& run, RunEnd how);
  std::int64_t ClockMs(TimePoint now) const {
    return now.ms() - life_began_.ms();
  }
  bool IsNear(const std::string& rack) const;

  WorkerAnnouncement self_;
  FindTruth find_truth_;
  WorkerFaults faults_;
  TimePoint life_began_;
  TimePoint advanced_;
  std::uint64_t fencing_token_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::map<TaskRun, Running> running_;
  std::map<TaskName, std::uint64_t> highest_ended_;
  std::vector<EndedRun> ended_;
  std::uint64_t next_end_ = 1;
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_SIZED_WORKER_H_
