#ifndef GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_
#define GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_

#include <functional>
#include <memory>
#include <optional>

#include "base/clock.h"
#include "runtime/bounded_log.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/peer_links.h"
#include "runtime/process_loop.h"
#include "settings/step_settings.h"
#include "worker/worker_session.h"

namespace geranium {

/// An agent for step jobs as a process: joins the decisions to its worker,
/// links and the clock. Members that end in a comment "traffic" are used on the
/// traffic thread, all others on the control thread.
class StepAgentServer {
 public:
  using Reload = std::function<Result<StepAgentSettings>()>;

  /// `reload` reads the settings file anew.
  StepAgentServer(StepAgentSettings settings, Reload reload);

  /// Runs until it is told to terminate; returns the exit status.
  int Run();

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void OnRegistration(const ExchangePtr& exchange);  // traffic
  void Carry();
  void Carry(const SendMessage& action);
  void Carry(const ConnectEntry& action);
  void Carry(const CloseLink& action);
  void Carry(const StartRun& order);
  void Carry(const StopRun& order);
  void Carry(const HoldRuns& order);
  void Carry(const LogNote& note);
  template <class Order, class OnOutcome>
  void Call(const Order& order, OnOutcome on_outcome);
  void OnMetricsRequest(const ExchangePtr& exchange);  // traffic
  void OnTick();
  void OnTerminate(int count);
  void ReloadSettings(bool asked);

  StepAgentSettings settings_;
  Reload reload_;
  TimePoint next_reload_;
  SystemClock clock_;
  ProcessLoop loop_;
  WorkerSession session_;
  BoundedLog log_;
  PeerLinks links_;
  HttpClient http_;          // traffic
  HttpServer registration_;  // traffic
  HttpServer metrics_;       // traffic
  std::optional<TimePoint> leaving_since_;
  bool stopped_runs_ = false;
  int exit_status_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_AGENT_SERVER_H_
