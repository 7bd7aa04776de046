#ifndef GERANIUM_BASE_CLOCK_H_
#define GERANIUM_BASE_CLOCK_H_

#include <compare>
#include <concepts>
#include <cstdint>
#include <ctime>
#include <limits>

namespace geranium {

/// A span of time, in milliseconds.
class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(std::int64_t ms) : ms_(ms) {}

  constexpr std::int64_t ms() const { return ms_; }
  constexpr auto operator<=>(const Duration&) const = default;

  constexpr Duration operator+(Duration other) const {
    return Duration(ms_ + other.ms_);
  }
  constexpr Duration operator-(Duration other) const {
    return Duration(ms_ - other.ms_);
  }
  constexpr Duration operator*(std::int64_t factor) const {
    return Duration(ms_ * factor);
  }
  constexpr Duration operator/(std::int64_t divisor) const {
    return Duration(ms_ / divisor);
  }

 private:
  std::int64_t ms_ = 0;
};

/// A reading of a process's monotonic clock, in milliseconds. Readings of
/// different processes are not comparable.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  constexpr explicit TimePoint(std::int64_t ms) : ms_(ms) {}

  constexpr std::int64_t ms() const { return ms_; }
  constexpr auto operator<=>(const TimePoint&) const = default;

  constexpr TimePoint operator+(Duration span) const {
    return TimePoint(ms_ + span.ms());
  }
  constexpr TimePoint operator-(Duration span) const {
    return TimePoint(ms_ - span.ms());
  }
  constexpr Duration operator-(TimePoint earlier) const {
    return Duration(ms_ - earlier.ms_);
  }

  /// Earlier than every reading; subtracting it from one does not overflow.
  static constexpr TimePoint Never() {
    return TimePoint(std::numeric_limits<std::int64_t>::min() / 4);
  }

 private:
  std::int64_t ms_ = 0;
};

/// A source of the current time.
template <class T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// The system's monotonic clock. It includes time spent in suspend, so that
/// leases and freshness have expired when the machine resumes.
class SystemClock {
 public:
  TimePoint Now() const {
    const timespec time = Read();
    return TimePoint(std::int64_t{time.tv_sec} * 1000 +
                     time.tv_nsec / 1'000'000);
  }

  /// The current time with a resolution below 1 ms, for measurements.
  static double PreciseMs() {
    const timespec time = Read();
    return static_cast<double>(time.tv_sec) * 1000.0 +
           static_cast<double>(time.tv_nsec) / 1'000'000.0;
  }

 private:
  static timespec Read() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time;
  }
};

/// A clock for tests that advances only when told to.
class ManualClock {
 public:
  TimePoint Now() const { return now_; }
  void Advance(Duration span) { now_ = now_ + span; }
  void Set(TimePoint now) { now_ = now; }

 private:
  TimePoint now_;
};

static_assert(Clock<SystemClock>);
static_assert(Clock<ManualClock>);

}  // namespace geranium

#endif  // GERANIUM_BASE_CLOCK_H_
