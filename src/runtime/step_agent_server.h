#ifndef GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_
#define GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/peer_links.h"
#include "runtime/process_loop.h"
#include "runtime/rate_limited_log.h"
#include "runtime/step_process.h"
#include "settings/step_settings.h"
#include "worker/worker_session.h"

namespace geranium {

/// The agent process for step jobs: connects a WorkerSession to its worker,
/// links and the clock, on one thread.
class StepAgentServer {
 public:
  using Reloader = SettingsReloader<StepAgentSettings>;

  /// `read` rereads the settings file.
  StepAgentServer(StepAgentSettings settings, Reloader::Read read);

  /// Runs until it is told to terminate; returns the exit status.
  int Run();

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void OnRegistration(const ExchangePtr& exchange);
  /// Performs the session's actions after the events that are ready now, so
  /// that what they send to one peer shares a frame.
  void ScheduleActions();
  void PerformActions();
  void Perform(const SendMessage& action);
  void Perform(const ConnectEntry& action);
  void Perform(const DisconnectEntry& action);
  void Perform(const CloseLink& action);
  void Perform(const StartRun& order);
  void Perform(const StopRun& order);
  void Perform(const PollRuns& order);
  void Perform(const LogMessage& message);
  template <class Order, class OnOutcome>
  void Call(const Order& order, OnOutcome on_outcome);
  template <class OnOutcome>
  void HandleReply(OnOutcome on_outcome, const HttpOutcome& outcome);
  /// Returns the time to the next tick.
  Duration OnTick();
  void StopIfDone(TimePoint now);
  void OnTerminate(int count);
  void AddEntries(const std::optional<std::vector<std::string>>& addresses);

  StepAgentSettings settings_;
  Reloader settings_reloader_;
  SystemClock clock_;
  ProcessLoop loop_{ProcessLoop::Threads::kShared};
  WorkerSession session_;
  RateLimitedLog log_;
  ClientLimitMonitor client_limits_{
      [this](const LogMessage& message) { Perform(message); }};
  PeerLinks links_;
  HttpClient http_;
  HttpServer registration_server_;
  MetricsEndpoint metrics_;
  bool actions_scheduled_ = false;
  std::optional<TimePoint> leaving_since_;
  bool stopped_runs_ = false;
  int exit_status_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_
