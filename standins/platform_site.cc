// A stand-in for a whole platform on loopback: the operator's log and some
// workers, as their published protocol describes them, for tests of the real
// programs. Faults and the operator's writes come over POST /stand-in/...

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

constexpr auto kHeartbeat = std::chrono::milliseconds(500);
constexpr auto kStep = std::chrono::milliseconds(5);
/// Orders that get no answer are carried out this much later.
constexpr auto kLate = std::chrono::milliseconds(2500);
/// The platform's bound on starts at a worker that has said that it leaves.
constexpr Duration kDrainLimit{2000};

class Site {
 public:
  Site(boost::asio::io_context& io, const std::string& store_address,
       const std::vector<std::string>& workers,
       const std::vector<std::string>& agents)
      : io_(io),
        client_(io),
        store_(io),
        store_server_(io, [this](const ExchangePtr& exchange) {
          if (exchange->request().path.starts_with("/stand-in/")) {
            Control(exchange);
          } else {
            store_.Serve(exchange);
          }
        }) {
    Check(store_server_.Listen(store_address));
    for (std::size_t i = 0; i < workers.size(); ++i) {
      AddWorker(i, workers[i], agents.at(i));
    }
  }

 private:
  struct Place {
    std::unique_ptr<SizedWorker> worker;
    std::unique_ptr<HttpServer> server;
    std::string agent;
    std::unique_ptr<Timer> heartbeat;
    bool down = false;
    std::optional<TimePoint> draining_since;  ///< When the agent knew.
  };

  static void Check(const std::string& problem) {
    if (!problem.empty()) throw std::runtime_error(problem);
  }

  void AddWorker(std::size_t index, const std::string& address,
                 const std::string& agent) {
    Place& place = *places_.emplace_back(std::make_unique<Place>());
    WorkerAnnouncement self;
    self.id = WorkerId("i-" + std::to_string(index));
    self.service = ServiceName("desk");
    self.data_centre = DataCentreName(index % 2 == 0 ? "north" : "south");
    self.labels = {"a", "r" + std::to_string(index)};
    self.capacity = Resources{8, 4096, 0};
    self.started_ms = 1000 + index;
    place.agent = agent;
    place.worker = std::make_unique<SizedWorker>(
        self, [this](const TaskName& name) { return truths_[name]; });
    place.worker->Restart(clock_.Now());
    place.server = std::make_unique<HttpServer>(
        io_, [this, &place](const ExchangePtr& exchange) {
          Order(place, exchange);
        });
    Check(place.server->Listen(address));
    place.heartbeat = std::make_unique<Timer>(io_);
    Announce(place);
  }

  void Announce(Place& place) {
    if (!place.down) {
      const WorkerAnnouncement self = place.worker->Announce(clock_.Now());
      HttpCall call;
      call.address = place.agent;
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
      client_.Start(std::move(call), [this, &place, draining = self.draining](
                                         const HttpOutcome& outcome) {
        const bool taken = outcome.failure == HttpFailure::kNone &&
                           outcome.response.status == 200;
        if (taken && draining && !place.draining_since) {
          place.draining_since = clock_.Now();
        }
      });
    }
    place.heartbeat->expires_after(kHeartbeat);
    place.heartbeat->async_wait([this, &place](const auto& error) {
      if (!error) Announce(place);
    });
  }

  void Order(Place& place, const ExchangePtr& exchange) {
    const Json body = Json::parse(exchange->request().body);
    const std::string& path = exchange->request().path;
    if (place.down) return;
    const bool unanswered =
        std::bernoulli_distribution(place.worker->faults().unanswered)(random_);
    if (unanswered && path != "/-/hold") {
      auto timer = std::make_shared<Timer>(io_, kLate);
      timer->async_wait([this, timer, &place, path, body](const auto& error) {
        if (!error && !place.down) (void)CarryOut(place, path, body);
      });
      return;
    }
    if (path == "/-/hold") {
      Poll(place, exchange, body,
           clock_.Now() + Duration(body.value("wait-ms", 0)));
      return;
    }
    exchange->Reply(ToResponse(CarryOut(place, path, body)));
  }

  OrderOutcome CarryOut(Place& place, const std::string& path,
                        const Json& body) {
    const TaskRun run{TaskName(body.at("task").get<std::string>()),
                      body.at("run").get<std::uint64_t>()};
    const auto fencing_token = body.at("fencing-token").get<std::uint64_t>();
    const WorkerId self = place.worker->self().id;
    if (path == "/-/run-stop") {
      return place.worker->Stop({self, run, fencing_token}, clock_.Now());
    }
    const Json spec =
        Json::parse(body.at("spec").get<std::string>(), nullptr, false);
    TaskTruth truth;
    truth.work = Duration(spec.is_object() ? spec.value("work_ms", 50) : 50);
    truth.size.cpu = spec.is_object() ? spec.value("cpu", 1.0) : 1.0;
    truths_[run.task] = truth;
    const OrderOutcome outcome = place.worker->Start(
        {self, run, "", body.at("deadline-ms").get<std::int64_t>(),
         fencing_token},
        clock_.Now());
    if (outcome.reply == OrderReply::kAccepted) {
      Judge(run);
      JudgeStart(place, run);
    }
    return outcome;
  }

  void JudgeStart(const Place& place, const TaskRun& run) {
    const std::string& task = run.task.value();
    started_.insert(task.substr(0, task.find('.')));
    const bool draining = place.draining_since &&
                          clock_.Now() - *place.draining_since > kDrainLimit;
    if (draining) violations_.push_back(task + " starts at a draining worker");
  }

  void Judge(const TaskRun& run) {
    ++starts_;
    std::set<TaskName> running;
    for (const auto& place : places_) {
      if (place->down) continue;
      place->worker->Advance(clock_.Now());
      for (const TaskRun& each : place->worker->running()) {
        if (running.insert(each.task).second) continue;
        if (!twice_.insert(each).second) continue;
        violations_.push_back(each.task.value() + " runs twice at " +
                              std::to_string(clock_.Now().ms()) + " ms");
      }
      if (place->worker->in_use().cpu >
          place->worker->self().capacity.cpu + 1e-6) {
        violations_.push_back(place->worker->self().id.value() +
                              " is overfilled by " + run.task.value());
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

  void Poll(Place& place, const ExchangePtr& exchange, const Json& body,
            TimePoint until) {
    const auto acknowledged = body.value("acked-through", std::uint64_t{0});
    const TimePoint now = clock_.Now();
    place.worker->Advance(now);
    if (now < until && !place.down && !place.worker->HasEnd(acknowledged)) {
      auto timer = std::make_shared<Timer>(io_, kStep);
      timer->async_wait(
          [this, timer, &place, exchange, body, until](const auto& error) {
            if (!error) Poll(place, exchange, body, until);
          });
      return;
    }
    if (place.down) return;
    PollRuns order;
    order.worker = place.worker->self().id;
    order.fencing_token = body.at("fencing-token").get<std::uint64_t>();
    order.acknowledged_end = acknowledged;
    if (body.contains("deadline-ms")) {
      order.lease_until_ms = body.at("deadline-ms").get<std::int64_t>();
    }
    const PollOutcome outcome = place.worker->Poll(order, now);
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
      const char* how = run.end == RunEnd::kDone     ? "done"
                        : run.end == RunEnd::kFailed ? "failed"
                                                     : "stopped";
      finished.push_back(
          {run.number, run.run.task.value(), run.run.run, how, ""});
    }
    exchange->Reply(JsonResponse(200, {{"clock-ms", *outcome.clock_ms},
                                       {"born", outcome.started_ms},
                                       {"running", running},
                                       {"finished", finished}}));
  }

  void Control(const ExchangePtr& exchange) {
    const std::string& path = exchange->request().path;
    const Json body = Json::parse(exchange->request().body, nullptr, false);
    if (path == "/stand-in/put") {
      store_.Put(body.at("key"), body.at("value"));
    } else if (path == "/stand-in/store") {
      store_.SetUp(body.value("up", true));
      store_.SetSilent(body.value("silent", false));
      if (body.value("forget", false)) store_.Forget();
    } else if (path == "/stand-in/worker") {
      Place& place = *places_.at(body.at("worker").get<std::size_t>());
      place.worker->faults().unanswered = body.value("unanswered", 0.0);
      place.worker->faults().hangs = body.value("hangs", false);
      place.worker->SetDraining(body.value("draining", false));
      if (!body.value("draining", false)) place.draining_since.reset();
      if (body.value("restart", false)) place.worker->Restart(clock_.Now());
    }
    exchange->Reply(JsonResponse(200, {{"starts", starts_},
                                       {"started", started_},
                                       {"violations", violations_}}));
  }

  boost::asio::io_context& io_;
  SystemClock clock_;
  HttpClient client_;
  PlatformStore store_;
  HttpServer store_server_;
  std::vector<std::unique_ptr<Place>> places_;
  std::map<TaskName, TaskTruth> truths_;
  std::mt19937_64 random_{1};
  std::uint64_t starts_ = 0;
  std::set<std::string> started_;  ///< Ids of jobs.
  std::set<TaskRun> twice_;        ///< That were found beside another.
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
                           "A stand-in for a platform with workers.");
  options.add_options()("h,help", "print this page")(
      "store", "address of the operator's log",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7300"))(
      "workers", "addresses of the workers, separated by commas",
      cxxopts::value<std::string>()->default_value(""))(
      "agents", "their agents' registration addresses, in the same order",
      cxxopts::value<std::string>()->default_value(""));
  // The lists are split here, not by the options.
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  boost::asio::io_context io(1);
  const geranium::standins::Site site(
      io, parsed["store"].as<std::string>(),
      geranium::standins::Split(parsed["workers"].as<std::string>()),
      geranium::standins::Split(parsed["agents"].as<std::string>()));
  io.run();
  return 0;
}
