#ifndef GERANIUM_WORKER_WORKER_SPEED_H_
#define GERANIUM_WORKER_WORKER_SPEED_H_

#include <array>
#include <cstddef>

#include "base/clock.h"

namespace geranium {

/// A worker's run time relative to the estimates: the median over its last
/// runs, which neither rough estimates nor a few very long runs move far.
class WorkerSpeed {
 public:
  static constexpr std::size_t kWindow = 15;
  /// With fewer runs the median is not meaningful.
  static constexpr std::size_t kMinRuns = 5;
  /// The ratio of a single run is clamped to this factor either way.
  static constexpr double kMaxRatio = 20;

  /// Runs without an estimate are ignored.
  void Add(Duration ran, Duration estimate);

  /// Actual over estimated run times; 1 until `kMinRuns` runs are known.
  double slowness() const { return slowness_; }
  /// Number of runs that `slowness` is based on, at most `kWindow`.
  std::size_t runs() const { return runs_; }

 private:
  std::array<double, kWindow> ratios_{};
  std::size_t runs_ = 0;
  std::size_t next_ = 0;
  double slowness_ = 1;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_WORKER_SPEED_H_
