// Stand-in for a whole platform on loopback, for tests of the real programs:
// serves the operator's log and several workers with their published protocols.
// POST /stand-in/... injects faults and writes records of the operator.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>

#include "base/clock.h"
#include "platform_store.h"
#include "runtime/answers.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "sized_worker.h"

namespace geranium::standins {
namespace {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;
using Timer = boost::asio::steady_timer;

constexpr auto kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr auto kPollInterval = std::chrono::milliseconds(5);
/// Delay after which an unanswered order is executed.
constexpr auto kLateExecutionDelay = std::chrono::milliseconds(2500);
/// The platform allows no starts this long after an agent learnt of draining.
constexpr Duration kDrainLimit{2000};

class PlatformSite {
 public:
  PlatformSite(boost::asio::io_context& io, const std::string& store_address,
               const std::vector<std::string>& workers,
               const std::vector<std::string>& agents)
      : io_(io),
        client_(io),
        store_(io),
        store_server_(io, [this](const ExchangePtr& exchange) {
          if (exchange->request().path.starts_with("/stand-in/")) {
            HandleControl(exchange);
          } else {
            store_.Serve(exchange);
          }
        }) {
    ThrowIfError(store_server_.Listen(store_address));
    for (std::size_t i = 0; i < workers.size(); ++i) {
      AddWorker(i, workers[i], agents.at(i));
    }
  }

 private:
  struct WorkerEndpoint {
    std::unique_ptr<SizedWorker> worker;
    std::unique_ptr<HttpServer> server;
    std::string agent;
    std::unique_ptr<Timer> heartbeat;
    bool down = false;
    std::optional<TimePoint> draining_since;  ///< When the agent accepted it.
  };

  static void ThrowIfError(const std::string& error) {
    if (!error.empty()) throw std::runtime_error(error);
  }

  void AddWorker(std::size_t index, const std::string& address,
                 const std::string& agent) {
    WorkerEndpoint& endpoint =
        *endpoints_.emplace_back(std::make_unique<WorkerEndpoint>());
    WorkerAnnouncement self;
    self.id = WorkerId("i-" + std::to_string(index));
    self.service = ServiceName("desk");
    self.data_centre = DataCentreName(index % 2 == 0 ? "north" : "south");
    self.labels = {"a", "r" + std::to_string(index)};
    self.capacity = Resources{8, 4096, 0};
    self.started_ms = 1000 + index;
    endpoint.agent = agent;
    endpoint.worker = std::make_unique<SizedWorker>(
        self, [this](const TaskName& name) { return task_behaviours_[name]; });
    endpoint.worker->Restart(clock_.Now());
    endpoint.server = std::make_unique<HttpServer>(
        io_, [this, &endpoint](const ExchangePtr& exchange) {
          OnOrder(endpoint, exchange);
        });
    ThrowIfError(endpoint.server->Listen(address));
    endpoint.heartbeat = std::make_unique<Timer>(io_);
    SendHeartbeat(endpoint);
  }

  void SendHeartbeat(WorkerEndpoint& endpoint) {
    if (!endpoint.down) {
      const WorkerAnnouncement self = endpoint.worker->Announce(clock_.Now());
      HttpCall call;
      call.address = endpoint.agent;
      call.method = "POST";
      call.target = "/-/Instances.Heartbeat/" + self.id.value();
      call.timeout = Duration(1000);
      call.body = Json{
          {"service", self.service.value()},
          {"zone", self.data_centre.value()},
          {"state", self.draining ? "draining" : "ready"},
          {"seq", self.sequence},
          {"labels", self.labels},
          {"clock-ms", self.clock_ms},
          {"born", self.started_ms},
          {"capacity",
           {{"cpu", self.capacity.cpu * 1000},
            {"mem-mb", self.capacity.memory_mb},
            {"gpu",
             0}}}}.dump();
      client_.Start(std::move(call), [this, &endpoint,
                                      draining = self.draining](
                                         const HttpOutcome& outcome) {
        const bool accepted = outcome.failure == HttpFailure::kNone &&
                              outcome.response.status == 200;
        // A late answer may be to a worker that has been replaced since.
        const bool is_current = endpoint.worker->self().draining;
        if (accepted && draining && is_current && !endpoint.draining_since) {
          endpoint.draining_since = clock_.Now();
        }
      });
    }
    endpoint.heartbeat->expires_after(kHeartbeatInterval);
    endpoint.heartbeat->async_wait([this, &endpoint](const auto& error) {
      if (!error) SendHeartbeat(endpoint);
    });
  }

  void OnOrder(WorkerEndpoint& endpoint, const ExchangePtr& exchange) {
    const Json body = Json::parse(exchange->request().body);
    const std::string& path = exchange->request().path;
    if (endpoint.down) return;
    const bool unanswered = std::bernoulli_distribution(
        endpoint.worker->faults().unanswered)(random_);
    if (unanswered && path != "/-/hold") {
      auto timer = std::make_shared<Timer>(io_, kLateExecutionDelay);
      timer->async_wait(
          [this, timer, &endpoint, path, body](const auto& error) {
            if (!error && !endpoint.down) (void)Execute(endpoint, path, body);
          });
      return;
    }
    const bool rejected = std::bernoulli_distribution(
        endpoint.worker->faults().unhealthy)(random_);
    if (rejected && path != "/-/hold") {
      exchange->Reply(JsonResponse(429, Json::object()));
      return;
    }
    if (path == "/-/hold") {
      Poll(endpoint, exchange, body,
           clock_.Now() + Duration(body.value("wait-ms", 0)));
      return;
    }
    exchange->Reply(ToResponse(Execute(endpoint, path, body)));
  }

  OrderOutcome Execute(WorkerEndpoint& endpoint, const std::string& path,
                       const Json& body) {
    const TaskRun run{TaskName(body.at("task").get<std::string>()),
                      body.at("run").get<std::uint64_t>()};
    const auto fencing_token = body.at("fencing-token").get<std::uint64_t>();
    const WorkerId self = endpoint.worker->self().id;
    if (path == "/-/run-stop") {
      return endpoint.worker->Stop({self, run, fencing_token}, clock_.Now());
    }
    const Json spec =
        Json::parse(body.at("spec").get<std::string>(), nullptr, false);
    TaskBehaviour behaviour;
    behaviour.work =
        Duration(spec.is_object() ? spec.value("work_ms", 50) : 50);
    behaviour.size.cpu = spec.is_object() ? spec.value("cpu", 1.0) : 1.0;
    task_behaviours_[run.task] = behaviour;
    const OrderOutcome outcome = endpoint.worker->Start(
        {self, run, SharedText(), body.at("deadline-ms").get<std::int64_t>(),
         fencing_token},
        clock_.Now());
    if (outcome.reply == OrderReply::kAccepted) {
      CheckWorkers(run);
      RecordStart(endpoint, run);
    }
    return outcome;
  }

  void RecordStart(const WorkerEndpoint& endpoint, const TaskRun& run) {
    const std::string& task = run.task.value();
    started_jobs_.insert(task.substr(0, task.find('.')));
    const bool draining = endpoint.draining_since &&
                          clock_.Now() - *endpoint.draining_since > kDrainLimit;
    if (draining) violations_.push_back(task + " starts on a draining worker");
  }

  void CheckWorkers(const TaskRun& run) {
    ++starts_;
    std::map<TaskName, std::string> running;  ///< The run and its worker.
    for (const auto& endpoint : endpoints_) {
      if (endpoint->down) continue;
      endpoint->worker->Advance(clock_.Now());
      for (const TaskRun& each : endpoint->worker->running()) {
        const std::string here = std::to_string(each.run) + " at " +
                                 endpoint->worker->self().id.value();
        const auto [other, is_only] = running.emplace(each.task, here);
        if (is_only || !duplicate_runs_.insert(each).second) continue;
        violations_.push_back(each.task.value() + " has two concurrent runs, " +
                              other->second + " and " + here + ", at " +
                              std::to_string(clock_.Now().ms()) + " ms");
      }
      if (endpoint->worker->in_use().cpu >
          endpoint->worker->self().capacity.cpu + 1e-6) {
        violations_.push_back(endpoint->worker->self().id.value() +
                              " exceeds its CPU capacity after the start of " +
                              run.task.value());
      }
    }
  }

  static HttpResponse ToResponse(const OrderOutcome& outcome) {
    Json body = {{"clock-ms", outcome.clock_ms.value_or(0)}};
    switch (outcome.reply) {
      case OrderReply::kAccepted:
        return JsonResponse(200, body);
      case OrderReply::kFenced:
        body["reason"] = "fence";
        break;
      case OrderReply::kSuperseded:
        body["reason"] = "old";
        break;
      case OrderReply::kExpired:
        body["reason"] = "late";
        break;
      default:
        return JsonResponse(421, body);
    }
    return JsonResponse(409, body);
  }

  void Poll(WorkerEndpoint& endpoint, const ExchangePtr& exchange,
            const Json& body, TimePoint until) {
    const auto acknowledged = body.value("acked-through", std::uint64_t{0});
    const TimePoint now = clock_.Now();
    endpoint.worker->Advance(now);
    if (now < until && !endpoint.down &&
        !endpoint.worker->HasUnacknowledgedEnd(acknowledged)) {
      auto timer = std::make_shared<Timer>(io_, kPollInterval);
      timer->async_wait(
          [this, timer, &endpoint, exchange, body, until](const auto& error) {
            if (!error) Poll(endpoint, exchange, body, until);
          });
      return;
    }
    if (endpoint.down) return;
    PollRuns order;
    order.worker = endpoint.worker->self().id;
    order.fencing_token = body.at("fencing-token").get<std::uint64_t>();
    order.acknowledged_end = acknowledged;
    if (body.contains("deadline-ms")) {
      order.lease_until_ms = body.at("deadline-ms").get<std::int64_t>();
    }
    const PollOutcome outcome = endpoint.worker->Poll(order, now);
    if (outcome.reply != OrderReply::kAccepted) {
      exchange->Reply(ToResponse({outcome.reply, outcome.clock_ms, ""}));
      return;
    }
    Json running = Json::array();
    for (const ListedRun& run : outcome.running) {
      running.push_back({run.run.task.value(), run.run.run, "", run.percent});
    }
    Json finished = Json::array();
    for (const EndedRun& run : outcome.ended) {
      const char* end = run.end == RunEnd::kDone     ? "done"
                        : run.end == RunEnd::kFailed ? "failed"
                                                     : "stopped";
      finished.push_back(
          {run.number, run.run.task.value(), run.run.run, end, ""});
    }
    exchange->Reply(JsonResponse(200, {{"clock-ms", *outcome.clock_ms},
                                       {"born", outcome.started_ms},
                                       {"running", running},
                                       {"finished", finished}}));
  }

  void HandleControl(const ExchangePtr& exchange) {
    const std::string& path = exchange->request().path;
    const Json body = Json::parse(exchange->request().body, nullptr, false);
    if (path == "/stand-in/put") {
      store_.Put(body.at("key"), body.at("value"));
    } else if (path == "/stand-in/store") {
      if (body.contains("topic")) {
        store_.SetPartitionAvailable(body.at("topic"), body.value("part", 0),
                                     body.value("up", true));
        exchange->Reply(JsonResponse(200, Json::object()));
        return;
      }
      store_.SetAvailable(body.value("up", true));
      store_.SetSilent(body.value("silent", false));
      if (body.value("forget", false)) store_.Compact();
    } else if (path == "/stand-in/worker") {
      WorkerEndpoint& endpoint =
          *endpoints_.at(body.at("worker").get<std::size_t>());
      endpoint.worker->faults().unanswered = body.value("unanswered", 0.0);
      endpoint.worker->faults().unhealthy = body.value("busy", 0.0);
      endpoint.worker->faults().hangs = body.value("hangs", false);
      endpoint.worker->SetDraining(body.value("draining", false));
      if (!body.value("draining", false)) endpoint.draining_since.reset();
      if (body.value("restart", false)) endpoint.worker->Restart(clock_.Now());
    }
    exchange->Reply(JsonResponse(200, {{"starts", starts_},
                                       {"started", started_jobs_},
                                       {"violations", violations_}}));
  }

  boost::asio::io_context& io_;
  SystemClock clock_;
  HttpClient client_;
  PlatformStore store_;
  HttpServer store_server_;
  std::vector<std::unique_ptr<WorkerEndpoint>> endpoints_;
  std::map<TaskName, TaskBehaviour> task_behaviours_;
  std::mt19937_64 random_{1};
  std::uint64_t starts_ = 0;
  std::set<std::string> started_jobs_;
  std::set<TaskRun> duplicate_runs_;  ///< Already reported.
  std::vector<std::string> violations_;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace
}  // namespace geranium::standins

int main(int argc, char** argv) {
  cxxopts::Options options("platform-site",
                           "Stand-in for a platform with workers.");
  options.add_options()("h,help", "print this page")(
      "store", "address of the operator's log",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7300"))(
      "workers", "addresses of the workers, separated by commas",
      cxxopts::value<std::string>()->default_value(""))(
      "agents", "their agents' registration addresses, in the same order",
      cxxopts::value<std::string>()->default_value(""));
  // Lists are parsed by Split rather than by cxxopts.
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  boost::asio::io_context io(1);
  const geranium::standins::PlatformSite site(
      io, parsed["store"].as<std::string>(),
      geranium::standins::Split(parsed["workers"].as<std::string>()),
      geranium::standins::Split(parsed["agents"].as<std::string>()));
  io.run();
  return 0;
}
