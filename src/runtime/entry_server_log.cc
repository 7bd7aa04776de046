#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

#include "runtime/entry_server.h"
#include "runtime/logging.h"

namespace geranium {

void EntryServer::ReadLog(LogStream stream, LogOffset from) {
  const TimePoint sent_at = clock_.Now();
  log_.Read(stream, from, LogClient::kLongPollWait,
            [this, stream, sent_at](const Result<LogBatch>& batch) {
              boost::asio::post(loop_.control(),
                                [this, stream, sent_at, batch] {
                                  OnLogRead(stream, sent_at, batch);
                                });
            });
}

void EntryServer::OnLogRead(LogStream stream, TimePoint sent_at,
                            const Result<LogBatch>& batch) {
  Duration delay{0};
  Duration& retry_delay = log_retry_delays_[static_cast<std::size_t>(stream)];
  if (batch) {
    retry_delay = kMinLogRetryDelay;
    node_.OnLogRead(stream, batch.value(), sent_at, clock_.Now());
    PerformActions();
  } else {
    delay = retry_delay;
    retry_delay = std::min(kMaxLogRetryDelay, retry_delay * 2);
  }
  LogAvailabilityChange(stream, batch);
  const LogOffset from = node_.LogPosition(stream);
  boost::asio::post(loop_.traffic(), [this, stream, from, delay] {
    if (delay == Duration(0)) {
      ReadLog(stream, from);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_.traffic(), std::chrono::milliseconds(delay.ms()));
    timer->async_wait([this, stream, from, timer](const auto& error) {
      if (!error) ReadLog(stream, from);
    });
  });
}

void EntryServer::LogAvailabilityChange(LogStream stream,
                                        const Result<LogBatch>& batch) {
  if (batch.has_value() == log_available_) return;
  log_available_ = batch.has_value();
  if (log_available_) {
    LogEvent(LogLevel::kInfo, "log_service_up",
             {{"stream", std::string(Name(stream))}});
  } else {
    LogEvent(LogLevel::kWarning, "log_service_down",
             ToLogFields(batch.error()));
  }
}

}  // namespace geranium
