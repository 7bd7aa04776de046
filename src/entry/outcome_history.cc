#include "entry/outcome_history.h"

#include <algorithm>

namespace geranium {

bool OutcomeHistory::Add(bool succeeded) {
  failures_[next_] = !succeeded;
  next_ = (next_ + 1) % kWindow;
  outcomes_ = std::min(kWindow, outcomes_ + 1);
  if (!restricted_)
    return !succeeded && failures_.count() >= kQuarantineFailures;
  if (!succeeded) return true;
  if (++successes_ < kProbationSuccesses) return false;
  restricted_ = false;
  interval_ = kInitialQuarantine;
  failures_.reset();
  outcomes_ = 0;
  return false;
}

void OutcomeHistory::Quarantine(TimePoint now) {
  // Late failures of tasks that were already running do not extend it.
  if (restricted_ && now < until_) return;
  if (restricted_) interval_ = std::min(kMaxQuarantine, interval_ * 2);
  restricted_ = true;
  successes_ = 0;
  until_ = now + interval_;
}

TrustLevel OutcomeHistory::TrustLevelAt(TimePoint now) const {
  if (!restricted_) return TrustLevel::kTrusted;
  return now < until_ ? TrustLevel::kQuarantined : TrustLevel::kProbation;
}

}  // namespace geranium
