#include "entry/late_job_policy.h"

#include <cmath>

namespace geranium {

void LateJobPolicy::OnPlacingPass(bool has_jobs_in_time, TimePoint now) {
  if (!has_jobs_in_time) {
    pressure_since_ = TimePoint::Never();
  } else if (pressure_since_ == TimePoint::Never()) {
    pressure_since_ = now;
  }
}

double LateJobPolicy::Decayed(TimePoint now) const {
  const double age = static_cast<double>((now - updated_at_).ms());
  return recent_core_ms_ *
         std::exp(-age / static_cast<double>(kRateMemory.ms()));
}

void LateJobPolicy::OnLateStart(double core_ms, TimePoint now) {
  recent_core_ms_ = Decayed(now) + core_ms;
  updated_at_ = now;
}

bool LateJobPolicy::IsUnderPressure(TimePoint now) const {
  return pressure_since_ != TimePoint::Never() &&
         now - pressure_since_ >= kMinPressure;
}

bool LateJobPolicy::CanStartBy(double core_ms, TimePoint deadline,
                               TimePoint now) const {
  const double rate = Decayed(now) / static_cast<double>(kRateMemory.ms());
  return core_ms <= rate * static_cast<double>((deadline - now).ms());
}

}  // namespace geranium
