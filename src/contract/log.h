#ifndef GERANIUM_CONTRACT_LOG_H_
#define GERANIUM_CONTRACT_LOG_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace geranium {

/// The streams of the log service that the system writes to.
enum class LogStream { kConfiguration, kClaims };
inline constexpr std::size_t kLogStreamCount = 2;

std::string_view Name(LogStream stream);

/// One record as read from the log service.
struct LogRecord {
  LogOffset offset;
  RecordId id;
  Duration age;  ///< Since its append, by the log service's clock.
  std::string body;
};

/// The answer to one read: the records from the requested offset on, and the
/// stream's bounds at that time.
struct LogBatch {
  LogOffset first;  ///< The oldest record still retained.
  LogOffset next;   ///< One past the newest record.
  std::vector<LogRecord> records;
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_LOG_H_
