#include "runtime/entry_server.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/invariant.h"
#include "runtime/answers.h"
#include "runtime/caller_api.h"
#include "runtime/logging.h"
#include "runtime/operator_api.h"

namespace geranium {
namespace {

HttpResponse NotFound(const HttpRequest& request) {
  return ErrorResponse(
      Error{ErrorCode::kUnknownJob, "route", "caller",
            "no such path: " + request.method + " " + request.path,
            Execution::kNotRun});
}

}  // namespace

EntryServer::EntryServer(EntrySettings settings)
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
             settings_.node.seed),
      http_(loop_.traffic()),
      log_(http_, settings_.log_address),
      server_(loop_.traffic(),
              [this](const ExchangePtr& exchange) { OnRequest(exchange); }),
      log_retry_delays_{kMinLogRetryDelay, kMinLogRetryDelay} {}

int EntryServer::Run() {
  const EntryOptions& options = settings_.node;
  for (const auto& [address, error] :
       {std::pair(options.link_address, links_.Listen(options.link_address)),
        std::pair(options.http_address,
                  server_.Listen(options.http_address))}) {
    if (error.empty()) continue;
    LogEvent(LogLevel::kError, "listen_failed",
             {{"address", address}, {"message", error}});
    return 1;
  }
  LogEvent(LogLevel::kInfo, "started",
           {{"incarnation", ToString(options.incarnation)},
            {"http_address", options.http_address},
            {"link_address", options.link_address}});
  for (const std::string& address : settings_.entry_addresses) {
    if (address != options.link_address) links_.Connect(address);
  }
  for (const LogStream stream :
       {LogStream::kConfiguration, LogStream::kClaims}) {
    boost::asio::post(loop_.traffic(),
                      [this, stream] { ReadLog(stream, LogOffset(1)); });
  }
  const auto on_tick = [this] {
    OnTick();
    return ProcessLoop::kTickInterval;
  };
  loop_.Run(on_tick, [this](int count) { OnTerminate(count); });
  return exit_status_;
}

// ---- HTTP requests

void EntryServer::OnRequest(const ExchangePtr& exchange) {
  if (RouteCaller(exchange) || RouteOperator(exchange)) return;
  exchange->Reply(NotFound(exchange->request()));
}

bool EntryServer::RouteCaller(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  const auto service = PathSegment(request.path, "/v1/services/", "/requests");
  if (request.method == "POST" && service) {
    Submit(exchange, ParseServiceRequest(request, *service));
    return true;
  }
  if (request.method == "POST" && request.path == "/v1/jobs") {
    Submit(exchange, ParseJob(request));
    return true;
  }
  if (request.method == "POST" && request.path == "/v1/keys") {
    ReplyFromControl(exchange, [this](TimePoint /*now*/) {
      return JsonResponse(201, {{"key", node_.MintKey().value()}});
    });
    return true;
  }
  const auto job = PathSegment(request.path, "/v1/jobs/", "");
  if (job && request.method == "GET") {
    ReplyWithJobReport(exchange, *job);
    return true;
  }
  if (job && request.method == "DELETE") {
    CancelJob(exchange, *job);
    return true;
  }
  return false;
}

bool EntryServer::RouteOperator(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  const std::string& path = request.path;
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  const auto worker = PathSegment(path, "/v1/operator/workers/", "/drain");
  if (is_get && path == "/livez") {
    ReplyFromControl(exchange, [](TimePoint /*now*/) {
      return JsonResponse(200, {{"live", true}});
    });
  } else if (is_get && path == "/readyz") {
    ReplyFromControl(exchange, [this](TimePoint now) {
      const bool ready = node_.IsReady(now);
      return JsonResponse(ready ? 200 : 503, {{"ready", ready}});
    });
  } else if (is_get && path == "/metrics") {
    ReplyFromControl(exchange, [this](TimePoint now) {
      MetricFamilies families = EntryMetrics(node_, links_, now);
      for (auto& family : answer_times_.Collect()) {
        families.push_back(std::move(family));
      }
      HttpResponse response;
      response.content_type = "text/plain; version=0.0.4";
      response.body = MetricsText(families);
      return response;
    });
  } else if (is_get && path == "/v1/operator/status") {
    ReplyFromControl(exchange, [this](TimePoint now) {
      return JsonResponse(200, EntryStatus(node_, now));
    });
  } else if (is_get && path == "/v1/operator/events") {
    const std::uint64_t after =
        std::strtoull(request.Query("after", "0").c_str(), nullptr, 10);
    ReplyFromControl(exchange, [this, after](TimePoint now) {
      return JsonResponse(200, EntryEvents(node_, after, now));
    });
  } else if (is_post && path == "/v1/operator/records") {
    ApplyPushedRecord(exchange);
  } else if (is_post && worker) {
    DrainWorker(exchange, *worker);
  } else {
    return false;
  }
  return true;
}

void EntryServer::ReplyFromControl(
    const ExchangePtr& exchange,
    std::function<HttpResponse(TimePoint)> make_response) {
  boost::asio::post(loop_.control(),
                    [this, exchange, make_response = std::move(make_response)] {
                      exchange->Reply(make_response(clock_.Now()));
                      PerformActions();
                    });
}

void EntryServer::Submit(const ExchangePtr& exchange,
                         Result<Submission> submission) {
  if (!submission) {
    exchange->Reply(ErrorResponse(submission.error()));
    return;
  }
  const double received_ms = SystemClock::PreciseMs();
  boost::asio::post(
      loop_.control(), [this, exchange, received_ms,
                        submission = std::move(submission.value())]() mutable {
        const CallerHandle caller(next_caller_++);
        pending_requests_[caller] =
            PendingRequest{exchange, submission.kind, received_ms};
        exchange->SetOnDisconnect([this, caller] {
          boost::asio::post(loop_.control(), [this, caller] {
            pending_requests_.erase(caller);
            node_.OnCallerGone(caller, clock_.Now());
            PerformActions();
          });
        });
        node_.OnSubmission(caller, std::move(submission), clock_.Now());
        PerformActions();
      });
}

void EntryServer::ReplyWithJobReport(const ExchangePtr& exchange,
                                     const std::string& text) {
  const auto job = ParseJobId(text);
  ReplyFromControl(exchange, [this, job, text](TimePoint /*now*/) {
    const JobReport report = job ? node_.Report(*job) : JobReport{};
    if (report.state == JobReport::State::kAnswered) {
      return JsonResponse(200, ToJson(*report.answer));
    }
    if (report.state == JobReport::State::kRunning) {
      return JsonResponse(200, {{"job", text}, {"status", "running"}});
    }
    return ErrorResponse(
        Error{ErrorCode::kUnknownJob, "find job", settings_.node.id.value(),
              "this entry has no record of the job", Execution::kMayHaveRun});
  });
}

void EntryServer::CancelJob(const ExchangePtr& exchange,
                            const std::string& text) {
  const auto job = ParseJobId(text);
  ReplyFromControl(exchange, [this, job, text](TimePoint now) {
    if (job) node_.CancelJob(*job, now);
    const JobReport report = job ? node_.Report(*job) : JobReport{};
    if (report.state == JobReport::State::kAnswered) {
      return JsonResponse(200, ToJson(*report.answer));
    }
    return ErrorResponse(
        Error{ErrorCode::kUnknownJob, "cancel", settings_.node.id.value(),
              "this entry has no record of the job", Execution::kMayHaveRun});
  });
}

void EntryServer::ApplyPushedRecord(const ExchangePtr& exchange) {
  const auto batch = ParsePushedRecord(exchange->request().body);
  if (!batch) {
    exchange->Reply(ErrorResponse(batch.error()));
    return;
  }
  ReplyFromControl(exchange, [this, batch = batch.value()](TimePoint now) {
    // Only the next record in order can be applied; a later one will be read
    // from the log.
    const LogOffset expected = node_.LogPosition(LogStream::kConfiguration);
    if (batch.records.front().offset == expected) {
      node_.OnLogRead(LogStream::kConfiguration, batch, TimePoint::Never(),
                      now);
    }
    return JsonResponse(200,
                        {{"version", node_.configuration().version().value()}});
  });
}

void EntryServer::DrainWorker(const ExchangePtr& exchange,
                              const std::string& worker) {
  ReplyFromControl(exchange, [this, worker](TimePoint now) {
    if (node_.DrainWorker(WorkerId(worker), now)) {
      return JsonResponse(200, {{"worker", worker}, {"draining", true}});
    }
    return ErrorResponse(Error{ErrorCode::kUnknownJob, "drain worker", worker,
                               "the worker is not connected to this entry",
                               Execution::kNotRun});
  });
}

// ---- actions of the node

void EntryServer::PerformActions() {
  for (const EntryAction& action : node_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
  links_.Flush();
}

void EntryServer::Perform(const SendMessage& action) {
  links_.Send(action.link, action.message);
}

void EntryServer::Perform(const ConnectEntry& action) {
  links_.Connect(action.address);
}

void EntryServer::Perform(const ReplyCaller& action) {
  const auto found = pending_requests_.find(action.caller);
  if (found == pending_requests_.end()) return;
  const PendingRequest pending = found->second;
  pending_requests_.erase(found);
  answer_times_.Observe(
      pending.kind, (SystemClock::PreciseMs() - pending.received_ms) / 1000);
  if (!action.reply) {
    pending.exchange->Reply(ErrorResponse(action.reply.error()));
  } else if (pending.kind == SubmissionKind::kJob) {
    pending.exchange->Reply(JobResponse(action.reply.value()));
  } else {
    pending.exchange->Reply(RequestResponse(action.reply.value()));
  }
}

void EntryServer::Perform(const AppendRecord& action) {
  boost::asio::post(loop_.traffic(), [this, action] {
    log_.Append(action.stream, action.id, action.body,
                [this, action](const Result<LogOffset>& offset) {
                  const bool applied = offset.has_value();
                  boost::asio::post(loop_.control(), [this, action, applied] {
                    node_.OnAppendEnded(action.stream, action.id, applied,
                                        clock_.Now());
                    PerformActions();
                  });
                });
  });
}

// ---- ticks and shutdown

void EntryServer::OnTick() {
  const TimePoint now = clock_.Now();
  node_.OnTick(now);
  PerformActions();
  logged_events_ = LogStateChanges(node_.events(), logged_events_);
  if (leaving_since_) StopIfDone(now);
}

void EntryServer::OnTerminate(int count) {
  const TimePoint now = clock_.Now();
  if (count > 1) {
    LogEvent(LogLevel::kWarning, "terminated",
             {{"cut_jobs", std::to_string(node_.dispatcher().open_jobs())},
              {"cut_requests", std::to_string(server_.unanswered())}});
    exit_status_ = 1;
    loop_.Stop();
    return;
  }
  leaving_since_ = now;
  node_.Leave(now);
  PerformActions();
}

// During the linger time the load balancer sees that the entry is not ready;
// requests that still arrive are refused with an answer.
void EntryServer::StopIfDone(TimePoint now) {
  const Duration elapsed = now - *leaving_since_;
  if (elapsed < settings_.shutdown_linger) return;
  const bool done = node_.IsIdle() && server_.unanswered() == 0;
  if (!done && elapsed < settings_.shutdown_limit) return;
  if (done) {
    CheckInvariant(Invariant::kShutdownCutsNothing, pending_requests_.empty(),
                   "callers were still waiting for answers at shutdown");
    LogEvent(LogLevel::kInfo, "stopped", {});
  } else {
    LogEvent(LogLevel::kWarning, "stopped_at_limit",
             {{"cut_jobs", std::to_string(node_.dispatcher().open_jobs())},
              {"cut_requests", std::to_string(server_.unanswered())}});
    exit_status_ = 1;
  }
  loop_.Stop();
}

}  // namespace geranium
