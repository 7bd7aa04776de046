#include "runtime/step_agent_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <exception>
#include <string>
#include <utility>

#include "platform/worker_api.h"
#include "runtime/logging.h"
#include "runtime/step_metrics.h"

namespace geranium {
namespace {

/// Time for entries to learn that the agent is leaving and to stop sending.
constexpr Duration kShutdownLinger{300};
/// Reserved before SIGKILL to stop the remaining runs and to notify entries.
constexpr Duration kStopMargin{900};
/// While leaving, how often it is checked whether all is done.
constexpr Duration kLeavingCheckInterval{20};
/// An announcement has some hundred bytes. Its labels are kept and sent on to
/// entries.
constexpr std::size_t kMaxAnnouncementBytes = 65'536;

HttpServerLimits ToRegistrationLimits(const ClientLimitSettings& settings) {
  HttpServerLimits limits = ToServerLimits(settings);
  limits.max_body_bytes = kMaxAnnouncementBytes;
  return limits;
}

}  // namespace

StepAgentServer::StepAgentServer(StepAgentSettings settings,
                                 Reloader::Read read)
    : settings_(std::move(settings)),
      settings_reloader_(std::move(read), settings_.entry_addresses),
      session_(settings_.node),
      links_(
          loop_.control(), loop_.traffic(),
          PeerLinks::Handlers{
              [this](LinkId link) { session_.OnLinkUp(link, clock_.Now()); },
              [this](LinkId link, const Message& message) {
                session_.OnMessage(link, message, clock_.Now());
              },
              [this](LinkId link) { session_.OnLinkDown(link, clock_.Now()); },
              [this] { ScheduleActions(); }},
          settings_.node.incarnation.value(), kMaxPlatformDialDelay),
      http_(loop_.traffic()),
      registration_server_(
          loop_.traffic(),
          [this](const ExchangePtr& exchange) { OnRegistration(exchange); },
          HttpServer::HalfClose::kIgnored,
          ToRegistrationLimits(settings_.client_limits)),
      metrics_(loop_.control(), loop_.traffic(), [this] {
        return StepAgentMetrics(session_, links_, client_limits_.counts(),
                                clock_.Now());
      }) {
  registration_server_.SetOnClientLimit(client_limits_.Observe("registration"));
  metrics_.SetOnClientLimit(client_limits_.Observe("metrics"));
}

int StepAgentServer::Run() {
  const std::string& registration = settings_.registration_address;
  const std::string& metrics = settings_.metrics_address;
  const std::vector<ListenOutcome> outcomes{
      {registration, registration_server_.Listen(registration)},
      {metrics, metrics_.Listen(metrics)}};
  if (!CheckListenOutcomes(outcomes)) return 1;
  LogEvent(LogLevel::kInfo, "started",
           {{"incarnation", ToString(settings_.node.incarnation)},
            {"worker", settings_.worker_address}});
  session_.AddEntries(settings_.entry_addresses, clock_.Now());
  PerformActions();
  loop_.Run([this] { return OnTick(); },
            [this](int count) { OnTerminate(count); },
            [this] { AddEntries(settings_reloader_.Reload(true)); });
  return exit_status_;
}

// ---- the worker

void StepAgentServer::OnRegistration(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  HttpResponse response;
  response.body = "{}";
  if (const auto left = platform::LeavingWorker(request)) {
    boost::asio::post(loop_.control(), [this, exchange, response, left] {
      session_.OnWorkerLeft(left->worker, clock_.Now());
      exchange->Reply(response);
      PerformActions();
    });
    return;
  }
  if (!platform::AnnouncingWorker(request)) {
    response.status = 404;
    exchange->Reply(std::move(response));
    return;
  }
  const auto announcement = platform::ReadAnnouncement(request);
  boost::asio::post(
      loop_.control(), [this, exchange, response, announcement]() mutable {
        const TimePoint now = clock_.Now();
        if (announcement) {
          session_.OnAnnouncement(announcement.value(), now);
        } else {
          response.status = 400;
          Perform(LogMessage{LogLevel::kWarning, "announcement_ignored",
                             ToLogFields(announcement.error())});
        }
        exchange->Reply(std::move(response));
        PerformActions();
      });
}

template <class Order, class OnOutcome>
void StepAgentServer::Call(const Order& order, OnOutcome on_outcome) {
  boost::asio::post(loop_.traffic(), [this, order, on_outcome] {
    http_.Start(platform::ToCall(settings_.worker_address, order),
                [this, on_outcome](const HttpOutcome& outcome) {
                  boost::asio::post(loop_.control(),
                                    [this, on_outcome, outcome] {
                                      HandleReply(on_outcome, outcome);
                                      ScheduleActions();
                                    });
                });
  });
}

// A reply that cannot be handled counts as lost: the session must learn of the
// end of each call, or it would wait for it for ever.
template <class OnOutcome>
void StepAgentServer::HandleReply(OnOutcome on_outcome,
                                  const HttpOutcome& outcome) {
  try {
    on_outcome(outcome, clock_.Now());
  } catch (const std::exception& error) {
    HttpOutcome lost;
    lost.failure = HttpFailure::kNoAnswer;
    lost.message = std::string("reply not understood: ") + error.what();
    on_outcome(lost, clock_.Now());
  }
}

void StepAgentServer::Perform(const StartRun& order) {
  Call(order,
       [this, run = order.run](const HttpOutcome& outcome, TimePoint now) {
         session_.OnStartEnded(run, platform::ReadOrderOutcome(outcome), now);
       });
}

void StepAgentServer::Perform(const StopRun& order) {
  Call(order,
       [this, run = order.run](const HttpOutcome& outcome, TimePoint now) {
         session_.OnStopEnded(run, platform::ReadOrderOutcome(outcome), now);
       });
}

void StepAgentServer::Perform(const PollRuns& order) {
  Call(order, [this, number = order.number](const HttpOutcome& outcome,
                                            TimePoint now) {
    session_.OnPollEnded(number, platform::ReadPollOutcome(outcome), now);
  });
}

// ---- actions of the session

void StepAgentServer::ScheduleActions() {
  if (std::exchange(actions_scheduled_, true)) return;
  boost::asio::post(loop_.control(), [this] {
    actions_scheduled_ = false;
    session_.OnEventsHandled(clock_.Now());
    PerformActions();
  });
}

void StepAgentServer::PerformActions() {
  for (const SessionAction& action : session_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
  links_.Flush();
  loop_.TickWithin(session_.TimeToNextTick(clock_.Now()));
}

void StepAgentServer::Perform(const SendMessage& action) {
  links_.Send(action.link, action.message);
}

void StepAgentServer::Perform(const ConnectEntry& action) {
  links_.Connect(action.address);
}

void StepAgentServer::Perform(const DisconnectEntry& action) {
  links_.Disconnect(action.address);
}

void StepAgentServer::Perform(const CloseLink& action) {
  links_.Reset(action.link);
}

void StepAgentServer::Perform(const LogMessage& message) {
  log_.Write(message, clock_.Now());
}

// ---- ticks, reloads and shutdown

Duration StepAgentServer::OnTick() {
  const TimePoint now = clock_.Now();
  session_.OnTick(now);
  PerformActions();
  AddEntries(settings_reloader_.ReloadIfDue(now));
  if (leaving_since_) StopIfDone(now);
  const Duration next = session_.TimeToNextTick(now);
  return leaving_since_ ? std::min(next, kLeavingCheckInterval) : next;
}

void StepAgentServer::StopIfDone(TimePoint now) {
  const Duration elapsed = now - *leaving_since_;
  if (!stopped_runs_ && elapsed >= settings_.grace - kStopMargin) {
    stopped_runs_ = true;
    session_.StopAll(now);
    PerformActions();
  }
  const bool done = session_.IsIdle() && elapsed >= kShutdownLinger;
  if (!done && elapsed < settings_.grace - kShutdownMargin) return;
  LogEvent(done ? LogLevel::kInfo : LogLevel::kWarning, "stopped", {});
  exit_status_ = done ? 0 : 1;
  loop_.Stop();
}

void StepAgentServer::AddEntries(
    const std::optional<std::vector<std::string>>& addresses) {
  if (!addresses) return;
  session_.AddEntries(*addresses, clock_.Now());
  PerformActions();
}

void StepAgentServer::OnTerminate(int count) {
  if (count > 1) return;
  leaving_since_ = clock_.Now();
  session_.Leave(*leaving_since_);
  LogEvent(LogLevel::kInfo, "leaving", {});
  PerformActions();
}

}  // namespace geranium
