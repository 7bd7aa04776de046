#ifndef GERANIUM_RUNTIME_LOGGING_H_
#define GERANIUM_RUNTIME_LOGGING_H_

#include <string>

#include "base/error.h"
#include "base/events.h"
#include "base/log_message.h"

namespace geranium {

enum class LogTarget { kStandardOutput, kStandardError };

/// Begins logging: one line of key=value pairs each.
void StartLogging(const std::string& program, const std::string& instance,
                  LogTarget target = LogTarget::kStandardError);

/// Writes what is buffered, for a moment at most, and ends the process without
/// the destructors of static objects: those of the logging library wait for its
/// threads, and where threads are not scheduled any more they do not return.
[[noreturn]] void FlushLogsAndExit(int exit_status);

/// Logs a change of state. `event` is a fixed name; what varies is in fields.
void LogEvent(LogLevel level, const std::string& event,
              const LogFields& fields);

/// The error as fields.
LogFields ToLogFields(const Error& error);

/// Logs those events that are changes of state of the process as a whole.
/// Returns the sequence number up to which it has looked.
std::uint64_t LogStateChanges(const EventRing& events, std::uint64_t after);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_LOGGING_H_
