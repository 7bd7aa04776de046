#ifndef GERANIUM_ENTRY_LATE_JOB_POLICY_H_
#define GERANIUM_ENTRY_LATE_JOB_POLICY_H_

#include "base/clock.h"

namespace geranium {

/// Decides which late jobs can't be started any more before their start
/// deadline. Answers a load above the workers' capacity that lasts for seconds:
/// what is started is then nearly all on time, and a late job would be refused
/// only at its deadline.
class LateJobPolicy {
 public:
  /// Jobs that are on time wait for this long on end before late ones are
  /// refused: a shorter wait is a peak that passes.
  static constexpr Duration kMinPressure{250};
  /// Time constant of the rate at which late jobs are started: several starts
  /// long under pressure, and short against a burst of some seconds.
  static constexpr Duration kRateMemory{500};

  /// To be called after each pass over the queue.
  void OnPlacingPass(bool has_jobs_in_time, TimePoint now);
  /// A task of a late job has been ordered.
  void OnLateStart(double core_ms, TimePoint now);

  bool IsUnderPressure(TimePoint now) const;
  /// Whether this much work of late jobs can still be started by `deadline` at
  /// the recent rate.
  bool CanStartBy(double core_ms, TimePoint deadline, TimePoint now) const;

 private:
  double Decayed(TimePoint now) const;

  TimePoint pressure_since_ = TimePoint::Never();
  double recent_core_ms_ = 0;  ///< Decays over `kRateMemory`.
  TimePoint updated_at_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_LATE_JOB_POLICY_H_
