#ifndef GERANIUM_ENTRY_URGENT_RESERVE_H_
#define GERANIUM_ENTRY_URGENT_RESERVE_H_

#include "base/clock.h"

namespace geranium {

/// How much of each worker is kept free of less urgent tasks, so that wide jobs
/// of the most urgent priority find room while the workers are full. Follows
/// the urgent work that has been admitted lately: without any, nothing is kept
/// free.
class UrgentReserve {
 public:
  /// `factor`: kept free, relative to the cores that urgent work takes.
  explicit UrgentReserve(double factor) : factor_(factor) {}

  void OnAdmitted(double core_ms, TimePoint now);
  /// Fraction of the cores of each worker; `cores` serve this entry in all.
  double Fraction(double cores, TimePoint now) const;

 private:
  double Decayed(TimePoint now) const;

  double factor_;
  double recent_core_ms_ = 0;  ///< Decays over `kMemory`.
  TimePoint updated_at_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_URGENT_RESERVE_H_
