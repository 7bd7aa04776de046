#ifndef GERANIUM_RUNTIME_LOG_CLIENT_H_
#define GERANIUM_RUNTIME_LOG_CLIENT_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "contract/log.h"
#include "runtime/http_client.h"

namespace geranium {

/// A client of the platform's log service. A failed append may still have been
/// applied; its record id shows that when the log is read back.
class LogClient {
 public:
  static constexpr Duration kLongPollWait{1000};
  static constexpr Duration kReadTimeoutMargin{1000};
  static constexpr Duration kAppendTimeout{3000};

  LogClient(HttpClient& http, std::string address)
      : http_(http), address_(std::move(address)) {}

  /// Reads records from `from` on; the service holds the request for up to
  /// `wait` if there are none yet.
  void Read(LogStream stream, LogOffset from, Duration wait,
            std::function<void(Result<LogBatch>)> callback);
  void Append(LogStream stream, const RecordId& id, const std::string& body,
              std::function<void(Result<LogOffset>)> callback);

 private:
  HttpClient& http_;
  std::string address_;
};

/// Blocking versions for the operators' command.
Result<LogBatch> ReadLog(const std::string& address, LogStream stream,
                         LogOffset from);
Result<LogOffset> AppendToLog(const std::string& address, LogStream stream,
                              const RecordId& id, const std::string& body);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_LOG_CLIENT_H_
