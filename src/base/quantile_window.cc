#include "base/quantile_window.h"

#include <algorithm>

namespace geranium {

void QuantileWindow::Add(Duration sample) {
  if (samples_.size() < kWindow) {
    samples_.push_back(sample);
  } else {
    samples_[next_] = sample;
    next_ = (next_ + 1) % kWindow;
  }
  ++since_refresh_;
  const bool just_enough = samples_.size() == kMinSamples;
  if (just_enough || since_refresh_ >= kRefreshInterval) Refresh();
}

Duration QuantileWindow::P99(Duration fallback) const {
  return samples_.size() < kMinSamples ? fallback : p99_;
}

Duration QuantileWindow::P99OrMax(Duration fallback) const {
  if (samples_.empty()) return fallback;
  if (samples_.size() >= kMinSamples) return p99_;
  return *std::max_element(samples_.begin(), samples_.end());
}

void QuantileWindow::Refresh() {
  since_refresh_ = 0;
  std::vector<Duration> sorted = samples_;
  const auto rank =
      static_cast<std::ptrdiff_t>((sorted.size() * 99 + 99) / 100 - 1);
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  p99_ = sorted[static_cast<std::size_t>(rank)];
}

}  // namespace geranium
