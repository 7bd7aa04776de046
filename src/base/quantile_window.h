#ifndef GERANIUM_BASE_QUANTILE_WINDOW_H_
#define GERANIUM_BASE_QUANTILE_WINDOW_H_

#include <vector>

#include "base/clock.h"

namespace geranium {

/// The 99th percentile of the newest samples.
class QuantileWindow {
 public:
  /// With fewer samples the percentile is not meaningful.
  static constexpr std::size_t kMinSamples = 20;

  void Add(Duration sample);

  /// The percentile, or `fallback` with too few samples.
  Duration P99(Duration fallback) const;

  /// The percentile; with too few samples the largest, with none `fallback`.
  Duration P99OrMax(Duration fallback) const;

 private:
  static constexpr std::size_t kWindow = 512;
  static constexpr std::size_t kRefreshInterval = 16;

  void Refresh();

  std::vector<Duration> samples_;
  std::size_t next_ = 0;
  std::size_t since_refresh_ = 0;
  Duration p99_;
};

}  // namespace geranium

#endif  // GERANIUM_BASE_QUANTILE_WINDOW_H_
