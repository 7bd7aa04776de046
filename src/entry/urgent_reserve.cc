#include "entry/urgent_reserve.h"

#include <algorithm>
#include <cmath>

namespace geranium {
namespace {

/// Time constant of the average: several bursts of arrivals long, and short
/// enough to follow a load that rises within seconds.
constexpr Duration kMemory{2000};
/// Less urgent work always gets most of a worker.
constexpr double kMaxFraction = 0.4;

}  // namespace

double UrgentReserve::Decayed(TimePoint now) const {
  const double age = static_cast<double>((now - updated_at_).ms());
  return recent_core_ms_ * std::exp(-age / static_cast<double>(kMemory.ms()));
}

void UrgentReserve::OnAdmitted(double core_ms, TimePoint now) {
  recent_core_ms_ = Decayed(now) + core_ms;
  updated_at_ = now;
}

double UrgentReserve::Fraction(double cores, TimePoint now) const {
  if (cores <= 0) return 0;
  const double urgent_cores = Decayed(now) / static_cast<double>(kMemory.ms());
  return std::min(kMaxFraction, factor_ * urgent_cores / cores);
}

}  // namespace geranium
