#include "runtime/bounded_log.h"

#include <algorithm>
#include <string>

#include "runtime/logging.h"

namespace geranium {

void BoundedLog::Write(const LogNote& note, TimePoint now) {
  constexpr std::int64_t kFull = kBurst * 1000;
  if (filled_ != TimePoint::Never()) {
    const std::int64_t gained =
        std::clamp<std::int64_t>((now - filled_).ms() * kRate, 0, kFull);
    millitokens_ = std::min(kFull, millitokens_ + gained);
  }
  filled_ = now;
  if (millitokens_ < 1000) {
    ++left_out_;
    return;
  }
  millitokens_ -= 1000;
  if (left_out_ > 0) {
    LogChange(LogLevel::kWarning, "log_lines_left_out",
              {{"count", std::to_string(left_out_)}});
    left_out_ = 0;
  }
  LogChange(note.level, note.event, note.fields);
}

}  // namespace geranium
