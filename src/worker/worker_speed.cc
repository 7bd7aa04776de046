#include "worker/worker_speed.h"

#include <algorithm>

namespace geranium {

// A moving average over four runs ranged from 0.9 to 5.7 on sound workers. Of
// 15 runs eight have to be slow before the median is.
void WorkerSpeed::Add(Duration ran, Duration estimate) {
  if (estimate.ms() <= 0) return;
  const double ratio =
      static_cast<double>(ran.ms()) / static_cast<double>(estimate.ms());
  ratios_[next_] = std::clamp(ratio, 1 / kMaxRatio, kMaxRatio);
  next_ = (next_ + 1) % kWindow;
  runs_ = std::min(runs_ + 1, kWindow);
  if (runs_ < kMinRuns) return;
  std::array<double, kWindow> sorted = ratios_;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(runs_);
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(runs_ / 2);
  std::nth_element(sorted.begin(), middle, end);
  slowness_ = *middle;
}

}  // namespace geranium
