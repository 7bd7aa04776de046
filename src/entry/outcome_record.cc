#include "entry/outcome_record.h"

#include <algorithm>

namespace geranium {

bool OutcomeRecord::Add(bool succeeded) {
  failures_[next_] = !succeeded;
  next_ = (next_ + 1) % kWindow;
  outcomes_ = std::min(kWindow, outcomes_ + 1);
  if (!restricted_) return !succeeded && failures_.count() >= kLeastFailures;
  if (!succeeded) return true;
  if (++successes_ < kProbationSuccesses) return false;
  restricted_ = false;
  interval_ = kFirstQuarantine;
  failures_.reset();
  outcomes_ = 0;
  return false;
}

void OutcomeRecord::Quarantine(TimePoint now) {
  // Results of tasks that were running already do not lengthen it.
  if (restricted_ && now < until_) return;
  if (restricted_) interval_ = std::min(kLongestQuarantine, interval_ * 2);
  restricted_ = true;
  successes_ = 0;
  until_ = now + interval_;
}

Standing OutcomeRecord::StandingAt(TimePoint now) const {
  if (!restricted_) return Standing::kTrusted;
  return now < until_ ? Standing::kQuarantined : Standing::kProbation;
}

}  // namespace geranium
