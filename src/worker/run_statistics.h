#ifndef GERANIUM_WORKER_RUN_STATISTICS_H_
#define GERANIUM_WORKER_RUN_STATISTICS_H_

#include "base/clock.h"
#include "worker/worker_speed.h"

namespace geranium {

/// What the recent runs of a worker show: its speed and, as a moving average,
/// its failure rate.
class RunStatistics {
 public:
  /// Weight of the newest outcome in the failure rate.
  static constexpr double kSmoothingFactor = 0.25;
  /// Failure rate above which the worker itself counts as failing. Jobs that
  /// cannot succeed stay well below it.
  static constexpr double kFailingThreshold = 0.6;

  void AddRun(Duration ran, Duration estimate) { speed_.Add(ran, estimate); }
  void AddOutcome(bool failed) {
    failures_ += kSmoothingFactor * ((failed ? 1.0 : 0.0) - failures_);
  }

  const WorkerSpeed& speed() const { return speed_; }
  double slowness() const { return speed_.slowness(); }
  bool failing() const { return failures_ > kFailingThreshold; }

 private:
  WorkerSpeed speed_;
  double failures_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_RUN_STATISTICS_H_
