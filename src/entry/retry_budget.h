#ifndef GERANIUM_ENTRY_RETRY_BUDGET_H_
#define GERANIUM_ENTRY_RETRY_BUDGET_H_

#include <algorithm>

namespace geranium {

/// Token bucket that limits retries and hedges to a fraction of first attempts:
/// each of those adds `kTokensPerFirstAttempt`, each retry or hedge takes 1.
class RetryBudget {
 public:
  static constexpr double kTokensPerFirstAttempt = 0.05;
  static constexpr double kMaxTokens = 50;

  void OnFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt);
  }

  /// Takes one token; false if the budget is exhausted.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_RETRY_BUDGET_H_
