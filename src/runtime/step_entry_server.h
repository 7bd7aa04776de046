#ifndef GERANIUM_RUNTIME_STEP_ENTRY_SERVER_H_
#define GERANIUM_RUNTIME_STEP_ENTRY_SERVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "data_centre/route_follower.h"
#include "entry/step_entry_node.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/peer_links.h"
#include "runtime/process_loop.h"
#include "runtime/rate_limited_log.h"
#include "runtime/step_metrics.h"
#include "runtime/step_process.h"
#include "runtime/step_route_table_copies.h"
#include "settings/step_settings.h"

namespace geranium {

/// The entry process for step jobs: connects a StepEntryNode to callers, links,
/// the operator's log and the clock, on one thread.
class StepEntryServer {
 public:
  using Reloader = SettingsReloader<StepEntrySettings>;

  /// `read` rereads the settings file.
  StepEntryServer(StepEntrySettings settings, Reloader::Read read);

  /// Runs until it is told to terminate; returns the exit status.
  int Run();

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void OnRequest(const ExchangePtr& exchange);
  void OnReadyRequest(const ExchangePtr& exchange);
  void Submit(const ExchangePtr& exchange);
  void OnQueueRequest(const ExchangePtr& exchange, TimePoint now);
  /// Performs the node's actions after the events that are ready now, so that
  /// what they send to one peer shares a frame.
  void ScheduleActions();
  void PerformActions();
  /// Applies the operator's limit on bodies.
  void ApplyBodyLimit();
  void Perform(const SendMessage& action);
  void Perform(const ConnectEntry& action);
  void Perform(const CloseLink& action);
  void Perform(const AnswerStepJob& action);
  void Perform(const LogMessage& message);
  void PollOperatorLog();
  void OnOperatorLogReply(const OperatorLogRequest& request,
                          const HttpOutcome& outcome);
  void ApplyOperatorLogReply(const OperatorLogRequest& request,
                             const HttpOutcome& outcome);
  MetricFamilies CollectMetrics();
  /// Returns the time to the next tick.
  Duration OnTick();
  void StopIfDone(TimePoint now);
  void AnswerRemainingJobs(TimePoint now);
  void OnTerminate(int count);
  void AddEntries(const std::optional<std::vector<std::string>>& addresses);

  StepEntrySettings settings_;
  Reloader settings_reloader_;
  SystemClock clock_;
  ProcessLoop loop_{ProcessLoop::Threads::kShared};
  StepEntryNode node_;
  RouteFollower follower_;
  RateLimitedLog log_;
  ClientLimitMonitor client_limits_{
      [this](const LogMessage& message) { Perform(message); }};
  PeerLinks links_;
  HttpClient http_;
  StepRouteTableCopies copies_;
  HttpServer caller_server_;
  HttpServer ready_server_;
  MetricsEndpoint metrics_;
  bool actions_scheduled_ = false;
  std::int64_t max_body_bytes_ = 0;  ///< Applied; 0: none yet.
  std::uint64_t next_caller_ = 1;
  struct PendingRequest {
    ExchangePtr exchange;
    TimePoint received_at;
  };

  StepAnswerTimes answer_times_;
  std::unordered_map<CallerHandle, PendingRequest> pending_requests_;
  std::optional<TimePoint> leaving_since_;
  TimePoint last_leaving_check_;
  bool remaining_jobs_answered_ = false;
  int exit_status_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_ENTRY_SERVER_H_
