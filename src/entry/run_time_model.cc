#include "entry/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace geranium {
namespace {

/// The nearest rank.
double Quantile(std::vector<double>& values, double quantile) {
  const double last = static_cast<double>(values.size() - 1);
  const auto rank = values.begin() +
                    static_cast<std::ptrdiff_t>(std::lround(quantile * last));
  std::nth_element(values.begin(), rank, values.end());
  return *rank;
}

double Bounded(double relative) {
  return std::clamp(relative, RunTimeModel::kMinRelative,
                    RunTimeModel::kMaxRelative);
}

}  // namespace

void RunTimeModel::Recompute() {
  range_ = RunTimeRange();
  const bool enough = known_.size() >= kMinWorkers;
  const double fast = enough ? Quantile(known_, 0.1) : 1;
  const double slow = enough ? Quantile(known_, 0.9) : 1;
  // Workers that have just started report 1, which says nothing: in a
  // deployment that has restarted they would hide how slow the others are.
  known_.insert(known_.end(), early_.begin(), early_.end());
  median_ = known_.empty() ? 1 : Quantile(known_, 0.5);
  if (slow < kUnevenRatio * fast) return;
  range_ = RunTimeRange{Bounded(fast / median_), Bounded(slow / median_)};
}

double RunTimeModel::RelativeRunTime(double slowness,
                                     std::uint32_t runs) const {
  if (!is_uneven() || runs < kMinRuns || !(slowness > 0)) return 1;
  const double weight =
      static_cast<double>(std::min(runs, kKnownRuns)) / kKnownRuns;
  return Bounded(1 + weight * (slowness / median_ - 1));
}

}  // namespace geranium
