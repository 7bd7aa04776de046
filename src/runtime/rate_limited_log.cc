#include "runtime/rate_limited_log.h"

#include <algorithm>
#include <string>
#include <utility>

#include "runtime/logging.h"

namespace geranium {

RateLimitedLog::RateLimitedLog() : sink_(LogEvent) {}

void RateLimitedLog::Write(const LogMessage& message, TimePoint now) {
  constexpr std::int64_t kMaxMillitokens = kBurst * 1000;
  TokenBucket& bucket = buckets_[message.event];
  if (bucket.refilled_at != TimePoint::Never()) {
    const std::int64_t refill = std::clamp<std::int64_t>(
        (now - bucket.refilled_at).ms() * kLinesPerSecond, 0, kMaxMillitokens);
    bucket.millitokens = std::min(kMaxMillitokens, bucket.millitokens + refill);
  }
  bucket.refilled_at = now;
  if (bucket.millitokens < 1000) {
    ++bucket.suppressed;
    return;
  }
  bucket.millitokens -= 1000;
  LogFields fields = message.fields;
  for (auto& [name, value] : fields) {
    if (value.size() > kMaxFieldBytes) value.resize(kMaxFieldBytes);
  }
  if (bucket.suppressed > 0) {
    fields.emplace_back("left_out_before",
                        std::to_string(std::exchange(bucket.suppressed, 0)));
  }
  sink_(message.level, message.event, fields);
}

}  // namespace geranium
