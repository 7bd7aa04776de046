#ifndef GERANIUM_STANDINS_SIZED_WORKER_H_
#define GERANIUM_STANDINS_SIZED_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "contract/step_job.h"
#include "worker/worker_calls.h"

namespace geranium::standins {

/// How a task behaves when it runs, whatever its job declares.
struct TaskBehaviour {
  Duration work;  ///< Run time on a sound worker in the data's rack.
  Resources size;
  std::string rack;
  bool fails = false;
  bool crashes_worker = false;  ///< Shortly after its start.
};

/// Faults that can be injected into a worker.
struct WorkerFaults {
  double slowdown = 1;  ///< Factor on the run time of tasks.
  bool fails_all = false;
  bool hangs = false;
  bool silent = false;  ///< Receives and answers no calls; tasks keep running.
  double unanswered = 0;  ///< Share of orders executed late, without answer.
  /// Share of orders whose connection is reset without an answer, before or
  /// after they are carried out, so that the agent sends them again at once.
  double resets = 0;
  double unhealthy = 0;   ///< Share of orders rejected as unhealthy.
  Duration stop_time;     ///< From a stop until the run has ended.
  Duration answer_delay;  ///< Longest extra delay of an answer to an order.
  double late_announcements = 0;  ///< Share that arrives seconds late.
};

/// Model of a backend server that runs sized tasks under a lease and starts
/// every task it is ordered to, whatever its capacity. The caller drives time.
class SizedWorker {
 public:
  using FindBehaviour = std::function<TaskBehaviour(const TaskName&)>;

  static constexpr double kOtherRackFactor = 1.5;
  static constexpr Duration kCrashDelay{10};

  SizedWorker(WorkerAnnouncement self, FindBehaviour find_behaviour);

  OrderOutcome Start(const StartRun& order, TimePoint now);
  OrderOutcome Stop(const StopRun& order, TimePoint now);
  /// Takes note of a poll's lease and token when it arrives.
  void Renew(const PollRuns& order, TimePoint now);
  /// Lists running and unacknowledged ended runs at once, without waiting.
  PollOutcome Poll(const PollRuns& order, TimePoint now);
  /// True if a run with a number above `acknowledged` has ended.
  bool HasUnacknowledgedEnd(std::uint64_t acknowledged) const;
  void Advance(TimePoint now);
  /// Starts a new incarnation without the runs and tokens of the previous one.
  void Restart(TimePoint now, std::optional<Resources> capacity = {});

  /// True once a run that crashes the worker has run for `kCrashDelay`.
  bool HasCrashed() const;
  WorkerAnnouncement Announce(TimePoint now);
  WorkerFaults& faults() { return faults_; }
  void SetCapacity(const Resources& capacity) { self_.capacity = capacity; }
  void SetDraining(bool draining) { self_.draining = draining; }
  std::vector<TaskRun> running() const;
  Resources in_use() const;
  const WorkerAnnouncement& self() const { return self_; }

 private:
  struct Running {
    TaskBehaviour task;
    double done_ms = 0;
    std::optional<TimePoint> stop_at;
  };

  void EndRun(const TaskRun& run, RunEnd end);
  std::int64_t ClockMs(TimePoint now) const {
    return now.ms() - started_at_.ms();
  }
  bool IsLocal(const std::string& rack) const;
  void ExtendLease(std::int64_t until_ms, TimePoint now);

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
