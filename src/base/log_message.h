#ifndef GERANIUM_BASE_LOG_MESSAGE_H_
#define GERANIUM_BASE_LOG_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

namespace geranium {

enum class LogLevel { kInfo, kWarning, kError };

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// A log line to be written: a fixed event name and its variable fields.
struct LogMessage {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  LogFields fields;
};

}  // namespace geranium

#endif  // GERANIUM_BASE_LOG_MESSAGE_H_
