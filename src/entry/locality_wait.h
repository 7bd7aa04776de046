#ifndef GERANIUM_ENTRY_LOCALITY_WAIT_H_
#define GERANIUM_ENTRY_LOCALITY_WAIT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace geranium {

struct LocalityWaitOptions {
  /// The wait that is accepted, as a percentage of what it gains; 0: not used.
  int wait_percent = 0;
};

/// A task whose data's rack is full, and a worker elsewhere that has room.
struct LocalityWaitInputs {
  Duration estimate;  ///< At the median worker, near the data.
  double cross_rack_factor =
      1;  ///< Run time elsewhere over that near the data.
  double relative_run_time = 1;  ///< Of the worker elsewhere.
  /// For a place in the rack; none if no worker there takes orders.
  std::optional<Duration> expected_wait;
  Duration waited;     ///< For a place in the rack, up to now.
  Duration time_left;  ///< That the job may still wait within its objective.
  bool others_wait = false;  ///< Tasks wait at this entry.
};

/// Decides whether a task waits for a place near its data.
class LocalityWait {
 public:
  explicit LocalityWait(LocalityWaitOptions options) : options_(options) {}

  bool is_used() const { return options_.wait_percent > 0; }
  /// Until when to wait at most, or none to place the task elsewhere now. To be
  /// asked again when reports have changed the inputs.
  std::optional<TimePoint> WaitUntil(const LocalityWaitInputs& inputs,
                                     TimePoint now) const;

 private:
  LocalityWaitOptions options_;
};

/// A worker in the data's rack that takes orders, as last reported.
struct RackWorker {
  Duration next_end;          ///< 0: a core is free.
  Duration report_age;        ///< Time since that report was received.
  double cores = 0;           ///< In all.
  std::uint32_t entries = 1;  ///< Linked entries, which share the cores.
};

struct RackQueue {
  double cores_ahead = 0;  ///< Of the tasks that wait here ahead for the rack.
  Duration mean_estimate;  ///< Of tasks that run in the rack.
  double task_cores = 1;   ///< Of the task that waits.
};

/// Expected time until a rack in which the task finds no room has room for it;
/// none if no worker there takes orders.
std::optional<Duration> ExpectedLocalWait(const std::vector<RackWorker>& rack,
                                          const RackQueue& queue);

}  // namespace geranium

#endif  // GERANIUM_ENTRY_LOCALITY_WAIT_H_
