#include "runtime/entry_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/invariant.h"
#include "runtime/answers.h"
#include "runtime/caller_api.h"
#include "runtime/logging.h"
#include "runtime/operator_api.h"

namespace geranium {
namespace {

constexpr Duration kFirstLogRetry{50};
constexpr Duration kLongestLogRetry{1000};

HttpResponse NotFound(const HttpRequest& request) {
  return ErrorResponse(Error{
      ErrorCode::kUnknownJob, "route", "caller",
      "nothing at " + request.method + " " + request.path, Execution::kNotRun});
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
                 [this] { Carry(); }},
             settings_.node.seed),
      http_(loop_.traffic()),
      log_(http_, settings_.log_address),
      server_(loop_.traffic(),
              [this](const ExchangePtr& exchange) { OnRequest(exchange); }),
      log_retries_{kFirstLogRetry, kFirstLogRetry} {}

int EntryServer::Run() {
  const EntryOptions& options = settings_.node;
  for (const auto& [what, problem] :
       {std::pair(options.link_address, links_.Listen(options.link_address)),
        std::pair(options.http_address,
                  server_.Listen(options.http_address))}) {
    if (problem.empty()) continue;
    LogChange(LogLevel::kError, "listen_failed",
              {{"address", what}, {"message", problem}});
    return 1;
  }
  LogChange(LogLevel::kInfo, "started",
            {{"incarnation", ToString(options.incarnation)},
             {"http_address", options.http_address},
             {"link_address", options.link_address}});
  for (const std::string& address : settings_.entry_addresses) {
    if (address != options.link_address) links_.Keep(address);
  }
  for (const LogStream stream :
       {LogStream::kConfiguration, LogStream::kClaims}) {
    boost::asio::post(loop_.traffic(),
                      [this, stream] { ReadLog(stream, LogOffset(1)); });
  }
  loop_.Run([this] { OnTick(); }, [this](int count) { OnTerminate(count); });
  return exit_status_;
}

// ---- requests

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
    AnswerJobReport(exchange, *job);
    return true;
  }
  if (job && request.method == "DELETE") {
    CancelReported(exchange, *job);
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
    TakeHandover(exchange);
  } else if (is_post && worker) {
    Drain(exchange, *worker);
  } else {
    return false;
  }
  return true;
}

void EntryServer::ReplyFromControl(
    const ExchangePtr& exchange,
    std::function<HttpResponse(TimePoint)> answer) {
  boost::asio::post(loop_.control(),
                    [this, exchange, answer = std::move(answer)] {
                      exchange->Reply(answer(clock_.Now()));
                      Carry();
                    });
}

void EntryServer::Submit(const ExchangePtr& exchange,
                         Result<Submission> submission) {
  if (!submission) {
    exchange->Reply(ErrorResponse(submission.error()));
    return;
  }
  const double since = SystemClock::PreciseMs();
  boost::asio::post(
      loop_.control(), [this, exchange, since,
                        submission = std::move(submission.value())]() mutable {
        const CallerHandle caller(next_caller_++);
        waiting_[caller] = Waiting{exchange, submission.kind, since};
        exchange->SetOnGone([this, caller] {
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

void EntryServer::AnswerJobReport(const ExchangePtr& exchange,
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
              "this entry does not know the job", Execution::kMayHaveRun});
  });
}

void EntryServer::CancelReported(const ExchangePtr& exchange,
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
              "this entry does not know the job", Execution::kMayHaveRun});
  });
}

void EntryServer::TakeHandover(const ExchangePtr& exchange) {
  const auto batch = ParseHandover(exchange->request().body);
  if (!batch) {
    exchange->Reply(ErrorResponse(batch.error()));
    return;
  }
  ReplyFromControl(exchange, [this, batch = batch.value()](TimePoint now) {
    // Only the next record can be folded; a later one is read from the log.
    const LogOffset expected = node_.LogPosition(LogStream::kConfiguration);
    if (batch.records.front().offset == expected) {
      node_.OnLogRead(LogStream::kConfiguration, batch, TimePoint::Never(),
                      now);
    }
    return JsonResponse(200,
                        {{"version", node_.configuration().version().value()}});
  });
}

void EntryServer::Drain(const ExchangePtr& exchange,
                        const std::string& worker) {
  ReplyFromControl(exchange, [this, worker](TimePoint now) {
    if (node_.DrainWorker(WorkerId(worker), now)) {
      return JsonResponse(200, {{"worker", worker}, {"draining", true}});
    }
    return ErrorResponse(Error{ErrorCode::kUnknownJob, "drain worker", worker,
                               "the worker is not linked here",
                               Execution::kNotRun});
  });
}

// ---- what the decisions ask for

void EntryServer::Carry() {
  for (const EntryAction& action : node_.TakeActions()) {
    std::visit([this](const auto& typed) { Carry(typed); }, action);
  }
  links_.Flush();
}

void EntryServer::Carry(const SendMessage& action) {
  links_.Send(action.link, action.message);
}

void EntryServer::Carry(const ConnectEntry& action) {
  links_.Keep(action.address);
}

void EntryServer::Carry(const ReplyCaller& action) {
  const auto found = waiting_.find(action.caller);
  if (found == waiting_.end()) return;
  const Waiting waiting = found->second;
  waiting_.erase(found);
  answer_times_.Observe(waiting.kind,
                        (SystemClock::PreciseMs() - waiting.since_ms) / 1000);
  if (!action.reply) {
    waiting.exchange->Reply(ErrorResponse(action.reply.error()));
  } else if (waiting.kind == SubmissionKind::kJob) {
    waiting.exchange->Reply(JobResponse(action.reply.value()));
  } else {
    waiting.exchange->Reply(RequestResponse(action.reply.value()));
  }
}

void EntryServer::Carry(const AppendRecord& action) {
  boost::asio::post(loop_.traffic(), [this, action] {
    log_.Append(action.stream, action.id, action.body,
                [this, action](const Result<LogOffset>& offset) {
                  const bool applied = offset.has_value();
                  boost::asio::post(loop_.control(), [this, action, applied] {
                    node_.OnAppendEnded(action.stream, action.id, applied,
                                        clock_.Now());
                    Carry();
                  });
                });
  });
}

// ---- the log

void EntryServer::ReadLog(LogStream stream, LogOffset from) {
  const TimePoint sent_at = clock_.Now();
  log_.Read(stream, from, LogClient::kReadWait,
            [this, stream, sent_at](const Result<LogBatch>& batch) {
              boost::asio::post(loop_.control(),
                                [this, stream, sent_at, batch] {
                                  OnLogRead(stream, sent_at, batch);
                                });
            });
}

void EntryServer::OnLogRead(LogStream stream, TimePoint sent_at,
                            const Result<LogBatch>& batch) {
  Duration wait{0};
  Duration& retry = log_retries_[static_cast<std::size_t>(stream)];
  if (batch) {
    retry = kFirstLogRetry;
    node_.OnLogRead(stream, batch.value(), sent_at, clock_.Now());
    Carry();
  } else {
    wait = retry;
    retry = std::min(kLongestLogRetry, retry * 2);
  }
  NoteLog(stream, batch);
  const LogOffset from = node_.LogPosition(stream);
  boost::asio::post(loop_.traffic(), [this, stream, from, wait] {
    if (wait == Duration(0)) {
      ReadLog(stream, from);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_.traffic(), std::chrono::milliseconds(wait.ms()));
    timer->async_wait([this, stream, from, timer](const auto& error) {
      if (!error) ReadLog(stream, from);
    });
  });
}

void EntryServer::NoteLog(LogStream stream, const Result<LogBatch>& batch) {
  if (batch.has_value() == log_is_up_) return;
  log_is_up_ = batch.has_value();
  if (log_is_up_) {
    LogChange(LogLevel::kInfo, "log_service_up",
              {{"stream", std::string(Name(stream))}});
  } else {
    LogChange(LogLevel::kWarning, "log_service_out", FieldsOf(batch.error()));
  }
}

// ---- time and the end

void EntryServer::OnTick() {
  const TimePoint now = clock_.Now();
  node_.OnTick(now);
  Carry();
  logged_events_ = LogStateChanges(node_.events(), logged_events_);
  if (leaving_since_) StopIfDone(now);
}

void EntryServer::OnTerminate(int count) {
  const TimePoint now = clock_.Now();
  if (count > 1) {
    LogChange(LogLevel::kWarning, "terminated",
              {{"cut_jobs", std::to_string(node_.dispatcher().open_jobs())},
               {"cut_requests", std::to_string(server_.unanswered())}});
    exit_status_ = 1;
    loop_.Stop();
    return;
  }
  leaving_since_ = now;
  node_.Leave(now);
  Carry();
}

// While it lingers, the balancer sees that it is not ready, and what still
// comes in is refused with an answer.
void EntryServer::StopIfDone(TimePoint now) {
  const Duration since = now - *leaving_since_;
  if (since < settings_.shutdown_linger) return;
  const bool done = node_.IsIdle() && server_.unanswered() == 0;
  if (!done && since < settings_.shutdown_limit) return;
  if (done) {
    CheckInvariant(Invariant::kShutdownCutsNothing, waiting_.empty(),
                   "callers were waiting at the end");
    LogChange(LogLevel::kInfo, "stopped", {});
  } else {
    LogChange(LogLevel::kWarning, "stopped_at_limit",
              {{"cut_jobs", std::to_string(node_.dispatcher().open_jobs())},
               {"cut_requests", std::to_string(server_.unanswered())}});
    exit_status_ = 1;
  }
  loop_.Stop();
}

}  // namespace geranium
