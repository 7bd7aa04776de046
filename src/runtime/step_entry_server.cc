#include "runtime/step_entry_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "platform/ingress.h"
#include "platform/operator_log.h"
#include "runtime/logging.h"

namespace geranium {
namespace {

/// After SIGTERM, requests are still taken in for at least this long: until the
/// platform has seen that the entry is not ready, and open connections have
/// been closed behind an answer.
constexpr Duration kShutdownLinger{3500};

}  // namespace

StepEntryServer::StepEntryServer(StepEntrySettings settings, Watch::Read read)
    : settings_(std::move(settings)),
      settings_watch_(std::move(read), settings_.entry_addresses),
      node_(settings_.node),
      links_(loop_.control(), loop_.traffic(),
             PeerLinks::Handlers{
                 [this](LinkId link) { node_.OnLinkUp(link, clock_.Now()); },
                 [this](LinkId link, const Message& message) {
                   node_.OnMessage(link, message, clock_.Now());
                 },
                 [this](LinkId link) { node_.OnLinkDown(link, clock_.Now()); },
                 [this] {
                   node_.OnFrameEnd(clock_.Now());
                   Carry();
                 }},
             settings_.node.incarnation.value(), kLongestPlatformDialWait),
      http_(loop_.traffic()),
      callers_(
          loop_.traffic(),
          [this](const ExchangePtr& exchange) { OnRequest(exchange); },
          HttpServer::HalfClose::kDisconnects),
      ready_(loop_.traffic(),
             [this](const ExchangePtr& exchange) { OnReadyRequest(exchange); }),
      metrics_(loop_.control(), loop_.traffic(),
               [this] { return CollectMetrics(); }) {}

int StepEntryServer::Run() {
  const std::string& link_address = settings_.node.link_address;
  const std::vector<ListenOutcome> outcomes{
      {settings_.link_listen_address,
       links_.Listen(settings_.link_listen_address)},
      {settings_.caller_address, callers_.Listen(settings_.caller_address)},
      {settings_.ready_address, ready_.Listen(settings_.ready_address)},
      {settings_.metrics_address, metrics_.Listen(settings_.metrics_address)}};
  if (!AllListen(outcomes)) return 1;
  LogEvent(LogLevel::kInfo, "started",
           {{"incarnation", ToString(settings_.node.incarnation)},
            {"caller_address", settings_.caller_address},
            {"link_address", link_address}});
  node_.AddConfiguredEntries(settings_.entry_addresses);
  Carry();
  boost::asio::post(loop_.control(), [this] { FollowOperator(); });
  loop_.Run([this] { OnTick(); }, [this](int count) { OnTerminate(count); },
            [this] { LearnEntries(settings_watch_.Look(true)); });
  return exit_status_;
}

// ---- callers

void StepEntryServer::OnReadyRequest(const ExchangePtr& exchange) {
  boost::asio::post(loop_.control(), [this, exchange] {
    HttpResponse response;
    response.status = node_.IsReady(clock_.Now()) ? 200 : 503;
    exchange->Reply(std::move(response));
  });
}

void StepEntryServer::OnRequest(const ExchangePtr& exchange) {
  if (exchange->request().method == "POST") {
    Submit(exchange);
    return;
  }
  boost::asio::post(loop_.control(),
                    [this, exchange] { AnswerQueue(exchange, clock_.Now()); });
}

void StepEntryServer::Submit(const ExchangePtr& exchange) {
  auto submission = platform::ReadSubmission(exchange->request());
  if (!submission) {
    const Error error = submission.error();
    boost::asio::post(loop_.control(), [this, exchange, error] {
      const HttpRequest& request = exchange->request();
      const std::string host = platform::HostOf(request);
      AnswerStepJob no_route;
      no_route.answer = StepAnswer::kNoRoute;
      no_route.reason = "no such route";
      const bool known =
          !node_.has_table() || node_.FindRoute(host, request.path) != nullptr;
      Carry(LogMessage{LogLevel::kWarning,
                       "request_malformed",
                       {{"path", request.path}, {"message", error.message}}});
      exchange->Reply(known ? platform::MalformedResponse(error)
                            : platform::ToResponse(no_route));
    });
    return;
  }
  boost::asio::post(
      loop_.control(),
      [this, exchange, submission = std::move(submission.value())]() mutable {
        if (exchange->disconnected()) {
          Carry(LogMessage{LogLevel::kInfo,
                           "job_refused",
                           {{"job", submission.job.id.value()},
                            {"reason", "its caller has gone"}}});
          return;
        }
        const CallerHandle caller(next_caller_++);
        waiting_[caller] = Waiting{exchange, clock_.Now()};
        exchange->SetOnDisconnect([this, caller] {
          boost::asio::post(loop_.control(), [this, caller] {
            waiting_.erase(caller);
            node_.OnCallerGone(caller, clock_.Now());
            Carry();
          });
        });
        node_.OnSubmission(caller, std::move(submission), clock_.Now());
        Carry();
      });
}

// Questions about jobs and queues. Nothing of a job is kept once it is
// answered.
void StepEntryServer::AnswerQueue(const ExchangePtr& exchange, TimePoint now) {
  const HttpRequest& request = exchange->request();
  const Route* route = node_.FindRoute(platform::HostOf(request), request.path);
  AnswerStepJob answer;
  answer.retry_after = Duration(1000);
  if (route == nullptr) {
    answer.answer =
        node_.has_table() ? StepAnswer::kNoRoute : StepAnswer::kRefused;
    answer.reason = "no such route";
    exchange->Reply(platform::ToResponse(answer));
    return;
  }
  const auto job = platform::JobIdOf(request.path, route->path_prefix);
  if (job && request.method == "DELETE") {
    const bool known = node_.CancelJob(*job, now);
    exchange->Reply(known ? HttpResponse{} : platform::GoneResponse());
    Carry();
  } else if (request.method == "GET" && request.path == route->path_prefix) {
    exchange->Reply(platform::PendingResponse(node_.CountPending(*route)));
  } else {
    exchange->Reply(platform::GoneResponse());
  }
}

// ---- what the decisions ask for

void StepEntryServer::Carry() {
  for (const StepAction& action : node_.TakeActions()) {
    std::visit([this](const auto& typed) { Carry(typed); }, action);
  }
  links_.Flush();
}

void StepEntryServer::Carry(const SendMessage& action) {
  links_.Send(action.link, action.message);
}

void StepEntryServer::Carry(const ConnectEntry& action) {
  if (action.address != settings_.node.link_address) {
    links_.Connect(action.address);
  }
}

void StepEntryServer::Carry(const CloseLink& action) {
  links_.Reset(action.link);
}

void StepEntryServer::Carry(const AnswerStepJob& action) {
  const auto found = waiting_.find(action.caller);
  if (found == waiting_.end()) return;
  answer_times_.Observe(action.answer, clock_.Now() - found->second.since);
  found->second.exchange->Reply(platform::ToResponse(action));
  waiting_.erase(found);
}

void StepEntryServer::Carry(const LogMessage& note) {
  log_.Write(note, clock_.Now());
}

// ---- the operator's log

void StepEntryServer::FollowOperator() {
  const OperatorLogRequest step = follower_.NextRequest();
  boost::asio::post(loop_.traffic(), [this, step] {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_.traffic(), std::chrono::milliseconds(step.delay.ms()));
    timer->async_wait([this, timer, step](const auto& error) {
      if (error) return;
      http_.Start(platform::OperatorLogCall(settings_.store_address, step),
                  [this, step](const HttpOutcome& outcome) {
                    boost::asio::post(loop_.control(), [this, step, outcome] {
                      OnOperatorLog(step, outcome);
                    });
                  });
    });
  });
}

void StepEntryServer::OnOperatorLog(const OperatorLogRequest& step,
                                    const HttpOutcome& outcome) {
  const std::string& address = settings_.store_address;
  const auto table =
      step.kind == OperatorLogRequest::Kind::kNewest
          ? follower_.OnNewest(platform::ReadNewest(address, outcome))
          : follower_.OnTail(platform::ReadTail(address, step.from, outcome));
  for (const LogMessage& note : follower_.TakeLogMessages()) Carry(note);
  if (table) node_.OnRouteTable(*table, address, clock_.Now());
  Carry();
  FollowOperator();
}

MetricFamilies StepEntryServer::CollectMetrics() {
  MetricFamilies families = StepEntryMetrics(node_, links_, clock_.Now());
  for (auto& family : answer_times_.Collect()) {
    families.push_back(std::move(family));
  }
  return families;
}

// ---- time and the end

void StepEntryServer::OnTick() {
  const TimePoint now = clock_.Now();
  node_.OnTick(now);
  Carry();
  LearnEntries(settings_watch_.LookIfDue(now));
  if (!leaving_since_) return;
  const Duration since = now - *leaving_since_;
  const bool done =
      node_.IsIdle() && callers_.unanswered() == 0 && since >= kShutdownLinger;
  if (!done && since < settings_.grace - kShutdownMargin) return;
  LogEvent(done ? LogLevel::kInfo : LogLevel::kWarning, "stopped",
           {{"cut_requests", std::to_string(callers_.unanswered())}});
  exit_status_ = done ? 0 : 1;
  loop_.Stop();
}

void StepEntryServer::LearnEntries(
    const std::optional<std::vector<std::string>>& addresses) {
  if (!addresses) return;
  for (const std::string& address : *addresses) node_.AddEntry(address);
  Carry();
}

void StepEntryServer::OnTerminate(int count) {
  if (count > 1) return;
  leaving_since_ = clock_.Now();
  node_.Leave(*leaving_since_ + settings_.grace - kShutdownMargin);
  callers_.CloseAfterResponses();
  LogEvent(LogLevel::kInfo, "leaving", {});
  Carry();
}

}  // namespace geranium
