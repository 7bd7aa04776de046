#include "runtime/agent_server.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/invariant.h"
#include "runtime/answers.h"
#include "runtime/logging.h"
#include "runtime/operator_api.h"

namespace geranium {
namespace {

/// Minimum time for which a leaving agent still answers entries, since they may
/// learn late that it leaves.
constexpr Duration kShutdownLinger{300};

CallReport ToReport(const HttpOutcome& outcome) {
  CallReport report;
  report.http_status = outcome.response.status;
  report.body = outcome.response.body;
  report.message = outcome.message;
  switch (outcome.failure) {
    case HttpFailure::kNone:
      report.end = outcome.response.status >= 500 ? CallEnd::kFailed
                                                  : CallEnd::kAnswered;
      return report;
    case HttpFailure::kNotConnected:
      report.end = CallEnd::kNotConnected;
      break;
    case HttpFailure::kNoAnswer:
      report.end = CallEnd::kNoAnswer;
      break;
    case HttpFailure::kAborted:
      report.end = CallEnd::kAborted;
      break;
  }
  report.http_status = 0;
  return report;
}

}  // namespace

AgentServer::AgentServer(AgentSettings settings)
    : settings_(std::move(settings)),
      node_(settings_.node),
      links_(loop_.control(), loop_.traffic(),
             PeerLinks::Handlers{
                 [this](LinkId link) { node_.OnLinkUp(link, clock_.Now()); },
                 [this](LinkId link, const Message& message) {
                   node_.OnMessage(link, message, clock_.Now());
                 },
                 [this](LinkId link) { node_.OnLinkDown(link, clock_.Now()); },
                 [this] { PerformActions(); }},
             settings_.node.incarnation.value()),
      http_(loop_.traffic()),
      server_(loop_.traffic(),
              [this](const ExchangePtr& exchange) { OnRequest(exchange); }) {}

int AgentServer::Run() {
  const AgentOptions& options = settings_.node;
  const std::string error = server_.Listen(options.http_address);
  if (!error.empty()) {
    LogEvent(LogLevel::kError, "listen_failed",
             {{"address", options.http_address}, {"message", error}});
    return 1;
  }
  LogEvent(LogLevel::kInfo, "started",
           {{"incarnation", ToString(options.incarnation)},
            {"data_centre", options.profile.data_centre.value()},
            {"backend", settings_.backend_address}});
  node_.AddKnownEntries(settings_.entry_addresses);
  for (const std::string& address : settings_.entry_addresses) {
    links_.Connect(address);
  }
  const auto on_tick = [this] {
    OnTick();
    return ProcessLoop::kTickInterval;
  };
  loop_.Run(on_tick, [this](int count) { OnTerminate(count); });
  return exit_status_;
}

// ---- HTTP requests

void AgentServer::OnRequest(const ExchangePtr& exchange) {
  boost::asio::post(loop_.control(), [this, exchange] {
    exchange->Reply(HandleRequest(exchange->request(), clock_.Now()));
  });
}

HttpResponse AgentServer::HandleRequest(const HttpRequest& request,
                                        TimePoint now) {
  if (request.path == "/livez") return JsonResponse(200, {{"live", true}});
  if (request.path == "/readyz") {
    const bool ready = node_.IsServing(now);
    return JsonResponse(ready ? 200 : 503, {{"ready", ready}});
  }
  if (request.path == "/metrics") {
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = MetricsText(AgentMetrics(node_, links_, now));
    return response;
  }
  if (request.path == "/v1/operator/status") {
    return JsonResponse(200, AgentStatus(node_, now));
  }
  if (request.path == "/v1/operator/events") {
    const std::uint64_t after =
        std::strtoull(request.Query("after", "0").c_str(), nullptr, 10);
    return JsonResponse(200, AgentEvents(node_, after, now));
  }
  return ErrorResponse(Error{ErrorCode::kUnknownJob, "route", "caller",
                             "no such path: " + request.path,
                             Execution::kNotRun});
}

// ---- actions of the node

void AgentServer::PerformActions() {
  for (const AgentAction& action : node_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
  links_.Flush();
}

void AgentServer::Perform(const SendMessage& action) {
  links_.Send(action.link, action.message);
}

void AgentServer::Perform(const ConnectEntry& action) {
  links_.Connect(action.address);
}

void AgentServer::Perform(const StartCall& action) {
  boost::asio::post(loop_.traffic(), [this, action] { CallBackend(action); });
}

void AgentServer::CallBackend(const StartCall& action) {
  HttpCall call;
  call.address = settings_.backend_address;
  call.method = "POST";
  call.target = action.path;
  call.body = action.payload;
  call.timeout = action.timeout;
  call.headers["Geranium-Job"] = ToString(action.job);
  call.headers["Geranium-Task"] = std::to_string(action.task);
  call.headers["Geranium-Attempt"] = ToString(action.attempt);
  // On a reused connection, a close by the server cannot be told from a lost
  // answer, so only calls that may be repeated reuse connections.
  call.use_new_connection = !action.repeatable;
  calls_[action.attempt] = http_.Start(
      std::move(call),
      [this, attempt = action.attempt](const HttpOutcome& outcome) {
        calls_.erase(attempt);
        boost::asio::post(loop_.control(), [this, attempt, outcome] {
          OnCallEnded(attempt, outcome);
        });
      });
}

void AgentServer::OnCallEnded(const AttemptId& attempt,
                              const HttpOutcome& outcome) {
  node_.OnCallEnded(attempt, ToReport(outcome), clock_.Now());
  PerformActions();
}

void AgentServer::Perform(const AbortCall& action) {
  boost::asio::post(loop_.traffic(), [this, attempt = action.attempt] {
    const auto found = calls_.find(attempt);
    if (found != calls_.end()) http_.Abort(found->second);
  });
}

void AgentServer::Perform(const ProbeBackend& action) {
  boost::asio::post(loop_.traffic(), [this, action] {
    HttpCall call;
    call.address = settings_.backend_address;
    call.method = "OPTIONS";
    call.target = action.path;
    call.timeout = action.timeout;
    call.use_new_connection = true;
    http_.Start(std::move(call), [this](const HttpOutcome& outcome) {
      const bool answered = outcome.failure == HttpFailure::kNone;
      boost::asio::post(loop_.control(), [this, answered] {
        node_.OnProbeEnded(answered, clock_.Now());
        PerformActions();
      });
    });
  });
}

// ---- ticks and shutdown

void AgentServer::OnTick() {
  const TimePoint now = clock_.Now();
  node_.OnTick(now);
  PerformActions();
  logged_events_ = LogStateChanges(node_.events(), logged_events_);
  if (leaving_since_) StopIfDone(now);
}

void AgentServer::OnTerminate(int count) {
  const TimePoint now = clock_.Now();
  if (count > 1) {
    LogEvent(LogLevel::kWarning, "terminated",
             {{"cut_attempts", std::to_string(node_.unfinished())}});
    exit_status_ = 1;
    loop_.Stop();
    return;
  }
  leaving_since_ = now;
  node_.Leave(now);
  PerformActions();
}

void AgentServer::StopIfDone(TimePoint now) {
  const Duration elapsed = now - *leaving_since_;
  if (elapsed < kShutdownLinger) return;
  const bool done = node_.IsIdle();
  if (!done && elapsed < settings_.shutdown_limit) return;
  CheckInvariant(Invariant::kShutdownCutsNothing, done,
                 "attempts were unfinished at the shutdown limit");
  if (done) {
    LogEvent(LogLevel::kInfo, "stopped", {});
  } else {
    LogEvent(LogLevel::kWarning, "stopped_at_limit",
             {{"cut_attempts", std::to_string(node_.unfinished())}});
    exit_status_ = 1;
  }
  loop_.Stop();
}

}  // namespace geranium
