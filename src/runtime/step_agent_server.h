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

/// An agent for step jobs as a process: joins the decisions to its worker,
/// links and the clock. Members that end in a comment "traffic" are used on the
/// traffic thread, all others on the control thread.
class StepAgentServer {
 public:
  using Watch = SettingsWatch<StepAgentSettings>;

  /// `read` reads the settings file anew.
  StepAgentServer(StepAgentSettings settings, Watch::Read read);

  /// Runs until it is told to terminate; returns the exit status.
  int Run();

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void OnRegistration(const ExchangePtr& exchange);  // traffic
  void Carry();
  void Carry(const SendMessage& action);
  void Carry(const ConnectEntry& action);
  void Carry(const DisconnectEntry& action);
  void Carry(const CloseLink& action);
  void Carry(const StartRun& order);
  void Carry(const StopRun& order);
  void Carry(const PollRuns& order);
  void Carry(const LogMessage& note);
  template <class Order, class OnOutcome>
  void Call(const Order& order, OnOutcome on_outcome);
  void OnTick();
  void OnTerminate(int count);
  void LearnEntries(const std::optional<std::vector<std::string>>& addresses);

  StepAgentSettings settings_;
  Watch settings_watch_;
  SystemClock clock_;
  ProcessLoop loop_;
  WorkerSession session_;
  RateLimitedLog log_;
  PeerLinks links_;
  HttpClient http_;          // traffic
  HttpServer registration_;  // traffic
  MetricsEndpoint metrics_;
  std::optional<TimePoint> leaving_since_;
  bool stopped_runs_ = false;
  int exit_status_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_
