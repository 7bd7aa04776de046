#ifndef GERANIUM_ENTRY_RUN_TIME_MODEL_H_
#define GERANIUM_ENTRY_RUN_TIME_MODEL_H_

#include <cstdint>
#include <ranges>
#include <vector>

namespace geranium {

/// Run times at slow and fast workers, relative to the median worker.
struct RunTimeRange {
  double fast = 1;  ///< 10 % quantile.
  double slow = 1;  ///< 90 % quantile.

  bool is_even() const { return fast >= slow; }
};

/// What a worker reports of its speed.
template <class T>
concept SpeedReport = requires(const T& report) {
  static_cast<double>(report.slowness);
  static_cast<std::uint32_t>(report.speed_runs);
};

/// The relative run time of each worker of a deployment, and whether the
/// workers differ so much that placement should tell them apart.
class RunTimeModel {
 public:
  /// Runs from which a worker's slowness is known well enough.
  static constexpr std::uint32_t kKnownRuns = 15;
  /// With fewer runs a worker reports no slowness of its own.
  static constexpr std::uint32_t kMinRuns = 5;
  /// Workers with `kKnownRuns` needed to tell whether they differ.
  static constexpr std::size_t kMinWorkers = 4;
  /// A deployment is uneven from this ratio of the 90 % to the 10 % quantile.
  /// The spread of medians of 15 runs puts the quantiles of equal workers 1.4
  /// apart.
  static constexpr double kUnevenRatio = 1.7;
  static constexpr double kMinRelative = 0.25;
  static constexpr double kMaxRelative = 4;

  /// Replaces what is known; `reports`: of the workers that take orders.
  template <std::ranges::input_range Reports>
  requires SpeedReport<std::ranges::range_value_t<Reports>>
  void Update(Reports&& reports) {
    known_.clear();
    early_.clear();
    for (const auto& report : reports) {
      if (!(report.slowness > 0)) continue;
      if (report.speed_runs >= kKnownRuns)
        known_.push_back(report.slowness);
      else if (report.speed_runs >= kMinRuns)
        early_.push_back(report.slowness);
    }
    Recompute();
  }

  bool is_uneven() const { return !range_.is_even(); }
  /// Run time of the median worker, relative to the estimates; 1 if unknown.
  double median() const { return median_; }
  /// Both 1 unless the deployment is uneven.
  const RunTimeRange& range() const { return range_; }
  /// Run time at a worker relative to the median worker; 1 if the deployment is
  /// even, and closer to 1 the fewer runs are known.
  double RelativeRunTime(double slowness, std::uint32_t runs) const;

 private:
  void Recompute();

  std::vector<double> known_;  ///< Slowness of workers with `kKnownRuns`.
  std::vector<double> early_;  ///< Of those with fewer, but `kMinRuns`.
  double median_ = 1;
  RunTimeRange range_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_RUN_TIME_MODEL_H_
