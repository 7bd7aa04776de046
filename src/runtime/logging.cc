#include "runtime/logging.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <sstream>

#include "runtime/line_writer.h"

namespace geranium {
namespace {

std::string Quoted(const std::string& value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
  if (plain) return value;
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

/// Writes lines on a separate thread, so that a slow reader of the log never
/// blocks the control thread.
class AsyncAppender : public log4cplus::Appender {
 public:
  explicit AsyncAppender(int descriptor) : writer_(descriptor) {}
  ~AsyncAppender() override { destructorImpl(); }

  void close() override {}

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    writer_.Write(line.str());
  }

 private:
  LineWriter writer_;
};

log4cplus::Logger& RootLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

bool IsStateChange(EventKind kind) {
  switch (kind) {
    case EventKind::kInDoubt:
    case EventKind::kLinkUp:
    case EventKind::kLinkDown:
    case EventKind::kConfiguration:
    case EventKind::kFreshness:
    case EventKind::kHealth:
    case EventKind::kLeaving:
      return true;
    default:
      return false;
  }
}

}  // namespace

void StartLogging(const std::string& program, const std::string& instance,
                  LogTarget target) {
  static log4cplus::Initializer initializer;
  const auto appender = log4cplus::SharedAppenderPtr(new AsyncAppender(
      target == LogTarget::kStandardError ? STDERR_FILENO : STDOUT_FILENO));
  const std::string pattern =
      "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p program=" + program +
      " instance=" + Quoted(instance) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  RootLogger().addAppender(appender);
  RootLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void FlushLogsAndExit(int exit_status) {
  // Destroying the appender flushes its writer.
  RootLogger().removeAllAppenders();
  std::_Exit(exit_status);
}

void LogEvent(LogLevel level, const std::string& event,
              const LogFields& fields) {
  std::string line = "event=" + event;
  for (const auto& [key, value] : fields)
    line += " " + key + "=" + Quoted(value);
  switch (level) {
    case LogLevel::kInfo:
      LOG4CPLUS_INFO(RootLogger(), line);
      break;
    case LogLevel::kWarning:
      LOG4CPLUS_WARN(RootLogger(), line);
      break;
    case LogLevel::kError:
      LOG4CPLUS_ERROR(RootLogger(), line);
      break;
  }
}

LogFields ToLogFields(const Error& error) {
  return {{"code", std::string(Name(error.code))},
          {"step", error.step},
          {"peer", error.peer},
          {"message", error.message}};
}

std::uint64_t LogStateChanges(const EventRing& events, std::uint64_t after) {
  for (const Event& event : events.After(after)) {
    after = event.sequence;
    if (!IsStateChange(event.kind)) continue;
    LogFields fields{{"peer", event.peer}, {"detail", event.detail}};
    if (event.job) fields.emplace_back("job", ToString(*event.job));
    const bool is_doubt = event.kind == EventKind::kInDoubt;
    LogEvent(is_doubt ? LogLevel::kWarning : LogLevel::kInfo,
             std::string(Name(event.kind)), fields);
  }
  return after;
}

}  // namespace geranium
