#ifndef GERANIUM_RUNTIME_RATE_LIMITED_LOG_H_
#define GERANIUM_RUNTIME_RATE_LIMITED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/log_message.h"

namespace geranium {

/// Limits the rate of log lines per event, so that logging does not take CPU
/// time from requests and a flood of one event does not hide others. The next
/// line of an event says how many lines were suppressed before it.
class RateLimitedLog {
 public:
  /// Sustained rate and burst size for one event.
  static constexpr std::int64_t kLinesPerSecond = 50;
  static constexpr std::int64_t kBurst = 200;
  /// Longer values, such as a caller's path, are cut.
  static constexpr std::size_t kMaxFieldBytes = 4096;

  using Sink = std::function<void(LogLevel level, const std::string& event,
                                  const LogFields& fields)>;

  /// Writes to the process's log.
  RateLimitedLog();
  explicit RateLimitedLog(Sink sink) : sink_(std::move(sink)) {}

  void Write(const LogMessage& message, TimePoint now);

 private:
  struct TokenBucket {
    std::int64_t millitokens = kBurst * 1000;
    TimePoint refilled_at = TimePoint::Never();
    std::uint64_t suppressed = 0;
  };

  Sink sink_;
  std::map<std::string, TokenBucket> buckets_;  ///< By event.
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_RATE_LIMITED_LOG_H_
