#ifndef GERANIUM_RUNTIME_ENTRY_SERVER_H_
#define GERANIUM_RUNTIME_ENTRY_SERVER_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "entry/entry_node.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/log_client.h"
#include "runtime/metrics.h"
#include "runtime/peer_links.h"
#include "runtime/process_loop.h"
#include "settings/process_settings.h"

namespace geranium {

/// The entry process: connects `EntryNode` to callers, links, the log service
/// and the clock. Members marked "traffic" are used on the traffic thread, all
/// others on the control thread.
class EntryServer {
 public:
  explicit EntryServer(EntrySettings settings);

  /// Runs until it has shut down after a signal; returns the exit status.
  int Run();

 private:
  static constexpr Duration kMinLogRetryDelay{50};
  static constexpr Duration kMaxLogRetryDelay{1000};

  using ExchangePtr = std::shared_ptr<HttpExchange>;

  struct PendingRequest {
    ExchangePtr exchange;
    SubmissionKind kind = SubmissionKind::kRequest;
    double received_ms = 0;
  };

  // On the traffic thread.
  void OnRequest(const ExchangePtr& exchange);
  bool RouteCaller(const ExchangePtr& exchange);
  bool RouteOperator(const ExchangePtr& exchange);
  void Submit(const ExchangePtr& exchange, Result<Submission> submission);
  void ReadLog(LogStream stream, LogOffset from);

  // On the control thread.
  void Handle(const std::function<void(TimePoint)>& step);
  void PerformActions();
  void Perform(const SendMessage& action);
  void Perform(const ConnectEntry& action);
  void Perform(const ReplyCaller& action);
  void Perform(const AppendRecord& action);
  void ReplyWithJobReport(const ExchangePtr& exchange, const std::string& text);
  void CancelJob(const ExchangePtr& exchange, const std::string& text);
  void ApplyPushedRecord(const ExchangePtr& exchange);
  void DrainWorker(const ExchangePtr& exchange, const std::string& worker);
  void OnLogRead(LogStream stream, TimePoint sent_at,
                 const Result<LogBatch>& batch);
  void LogAvailabilityChange(LogStream stream, const Result<LogBatch>& batch);
  void OnTick();
  void OnTerminate(int count);
  void StopIfDone(TimePoint now);

  /// Runs `make_response` on the control thread and sends its result.
  void ReplyFromControl(const ExchangePtr& exchange,
                        std::function<HttpResponse(TimePoint)> make_response);

  EntrySettings settings_;
  SystemClock clock_;
  ProcessLoop loop_;
  EntryNode node_;
  PeerLinks links_;
  HttpClient http_;    // traffic
  LogClient log_;      // traffic
  HttpServer server_;  // traffic
  AnswerTimes answer_times_;
  std::uint64_t next_caller_ = 1;
  std::unordered_map<CallerHandle, PendingRequest> pending_requests_;
  std::uint64_t logged_events_ = 0;
  bool log_available_ = true;
  std::array<Duration, kLogStreamCount> log_retry_delays_;
  std::optional<TimePoint> leaving_since_;
  int exit_status_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_ENTRY_SERVER_H_
