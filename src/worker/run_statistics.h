#ifndef GERANIUM_WORKER_RUN_STATISTICS_H_
#define GERANIUM_WORKER_RUN_STATISTICS_H_

#include <algorithm>

#include "base/clock.h"

namespace geranium {

/// Moving averages over the recent runs of a worker: the ratio of run time to
/// estimate, and the failure rate.
class RunStatistics {
 public:
  /// Weight of the newest run; estimates are rough, so several are averaged.
  static constexpr double kSmoothingFactor = 0.25;
  /// Failure rate above which the worker itself counts as failing. Jobs that
  /// cannot succeed stay well below it.
  static constexpr double kFailingThreshold = 0.6;
  /// The ratio of a single run is clamped to this factor either way.
  static constexpr double kMaxRatio = 20;

  void AddRun(Duration ran, Duration estimate) {
    if (estimate.ms() <= 0) return;
    const double ratio =
        static_cast<double>(ran.ms()) / static_cast<double>(estimate.ms());
    const double bounded = std::clamp(ratio, 1 / kMaxRatio, kMaxRatio);
    slowness_ += kSmoothingFactor * (bounded - slowness_);
  }
  void AddOutcome(bool failed) {
    failures_ += kSmoothingFactor * ((failed ? 1.0 : 0.0) - failures_);
  }

  double slowness() const { return slowness_; }
  bool failing() const { return failures_ > kFailingThreshold; }

 private:
  double slowness_ = 1;
  double failures_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_RUN_STATISTICS_H_
