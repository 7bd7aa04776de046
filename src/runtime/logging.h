#ifndef GERANIUM_RUNTIME_LOGGING_H_
#define GERANIUM_RUNTIME_LOGGING_H_

#include <string>

#include "base/error.h"
#include "base/events.h"
#include "base/log_message.h"

namespace geranium {

enum class LogTarget { kStandardOutput, kStandardError };

/// Starts logging; each line consists of key=value pairs.
void StartLogging(const std::string& program, const std::string& instance,
                  LogTarget target = LogTarget::kStandardError);

/// Flushes buffered lines for up to 200 ms and exits without running
/// destructors of static objects: those of the logging library join its threads
/// and would not return if these threads are no longer scheduled.
[[noreturn]] void FlushLogsAndExit(int exit_status);

/// `event` is a fixed name; variable data goes into `fields`.
void LogEvent(LogLevel level, const std::string& event,
              const LogFields& fields);

LogFields ToLogFields(const Error& error);

/// Logs the events after `after` that change the state of the whole process.
/// Returns the sequence number of the last event examined.
std::uint64_t LogStateChanges(const EventRing& events, std::uint64_t after);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_LOGGING_H_
