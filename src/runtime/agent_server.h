#ifndef GERANIUM_RUNTIME_AGENT_SERVER_H_
#define GERANIUM_RUNTIME_AGENT_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "base/clock.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/metrics.h"
#include "runtime/peer_links.h"
#include "runtime/process_loop.h"
#include "settings/process_settings.h"
#include "worker/agent_node.h"

namespace geranium {

/// The agent process: connects `AgentNode` to entries, the backend server and
/// the clock.
class AgentServer {
 public:
  explicit AgentServer(AgentSettings settings);

  /// Runs until it has shut down after a signal; returns the exit status.
  int Run();

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  // On the traffic thread.
  void OnRequest(const ExchangePtr& exchange);
  void CallBackend(const StartCall& action);

  // On the control thread.
  void PerformActions();
  void Perform(const SendMessage& action);
  void Perform(const ConnectEntry& action);
  void Perform(const StartCall& action);
  void Perform(const AbortCall& action);
  void Perform(const ProbeBackend& action);
  void OnCallEnded(const AttemptId& attempt, const HttpOutcome& outcome);
  HttpResponse HandleRequest(const HttpRequest& request, TimePoint now);
  void OnTick();
  void OnTerminate(int count);
  void StopIfDone(TimePoint now);

  AgentSettings settings_;
  SystemClock clock_;
  ProcessLoop loop_;
  AgentNode node_;
  PeerLinks links_;
  HttpClient http_;                                          // traffic
  HttpServer server_;                                        // traffic
  std::unordered_map<AttemptId, HttpClient::Handle> calls_;  // traffic
  std::uint64_t logged_events_ = 0;
  std::optional<TimePoint> leaving_since_;
  int exit_status_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_AGENT_SERVER_H_
