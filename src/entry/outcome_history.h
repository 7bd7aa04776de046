#ifndef GERANIUM_ENTRY_OUTCOME_HISTORY_H_
#define GERANIUM_ENTRY_OUTCOME_HISTORY_H_

#include <bitset>

#include "base/clock.h"

namespace geranium {

/// Whether a worker may get work, judged by the outcomes of its tasks.
enum class TrustLevel {
  kTrusted,
  kQuarantined,
  kProbation,  ///< One task at a time until enough succeed.
};

/// Sliding window of a worker's outcomes and the trust derived from it.
class OutcomeHistory {
 public:
  static constexpr std::size_t kWindow = 16;
  static constexpr std::size_t kQuarantineFailures = 8;
  static constexpr int kProbationSuccesses = 4;
  static constexpr Duration kInitialQuarantine{1000};
  static constexpr Duration kMaxQuarantine{60'000};

  /// Counts an outcome; true if the worker should now be quarantined.
  bool Add(bool succeeded);

  /// Starts a quarantine, twice as long as the one before up to the maximum.
  void Quarantine(TimePoint now);

  TrustLevel TrustLevelAt(TimePoint now) const;

  std::size_t failures() const { return failures_.count(); }
  std::size_t outcomes() const { return outcomes_; }

 private:
  std::bitset<kWindow> failures_;
  std::size_t next_ = 0;
  std::size_t outcomes_ = 0;
  bool restricted_ = false;
  int successes_ = 0;
  TimePoint until_;
  Duration interval_ = kInitialQuarantine;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_OUTCOME_HISTORY_H_
