#ifndef GERANIUM_BASE_RANDOM_H_
#define GERANIUM_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace geranium {

/// A process's random number generator; deterministic for a given seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A uniformly distributed number in [0, bound); `bound` is at least 1.
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
  }

  /// True with probability `p`.
  bool Chance(double p) { return std::bernoulli_distribution(p)(engine_); }

  std::uint64_t Bits() { return engine_(); }

  /// `span` randomly varied by up to a quarter, to spread retries out.
  Duration Jitter(Duration span) {
    const std::int64_t quarter = span.ms() / 4;
    if (quarter <= 0) return span;
    const auto shift = static_cast<std::int64_t>(
        Below(static_cast<std::size_t>(2 * quarter + 1)));
    return span - Duration(quarter) + Duration(shift);
  }

  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace geranium

#endif  // GERANIUM_BASE_RANDOM_H_
