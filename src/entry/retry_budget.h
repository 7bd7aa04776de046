#ifndef GERANIUM_ENTRY_RETRY_BUDGET_H_
#define GERANIUM_ENTRY_RETRY_BUDGET_H_

#include <algorithm>

namespace geranium {

/// Lets repeats be a fraction of the first attempts, and no more: each first
/// attempt pays in `kRatio`, each repeat takes 1.
class RetryBudget {
 public:
  static constexpr double kRatio = 0.05;
  static constexpr double kMost = 50;

  void CountFirst() { tokens_ = std::min(kMost, tokens_ + kRatio); }

  /// Takes one repeat; false if the budget is spent.
  bool Spend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMost;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_RETRY_BUDGET_H_
