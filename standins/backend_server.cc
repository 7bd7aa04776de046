// Stand-in for a backend server, for tests and the demo. The body of a request
// sets its run time ({"run_ms": 50}). Every start is recorded. The health check
// always reports a healthy server.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/clock.h"
#include "runtime/answers.h"
#include "runtime/http_server.h"

namespace geranium {
namespace {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr std::int64_t kDefaultRunMs = 50;
constexpr std::int64_t kMaxRunMs = 60'000;

enum class Fault { kNone, kFail, kFreeze, kStraggle };

class BackendServer {
 public:
  BackendServer(boost::asio::io_context& io, const std::string& address)
      : io_(io),
        server_(io, [this](const ExchangePtr& exchange) { Route(exchange); }) {
    const std::string error = server_.Listen(address);
    if (!error.empty()) throw std::runtime_error(error);
  }

 private:
  void Route(const ExchangePtr& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.path == "/healthz") {
      exchange->Reply(JsonResponse(200, {{"healthy", true}}));
    } else if (request.path == "/starts") {
      exchange->Reply(JsonResponse(200, starts_));
    } else if (request.path == "/fault") {
      SetFault(exchange);
    } else if (fault_ == Fault::kFreeze) {
      frozen_exchanges_.push_back(exchange);
    } else {
      Serve(exchange);
    }
  }

  void SetFault(const ExchangePtr& exchange) {
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    const std::string mode =
        json.is_object() ? json.value("mode", "none") : "none";
    fault_ = mode == "fail"       ? Fault::kFail
             : mode == "freeze"   ? Fault::kFreeze
             : mode == "straggle" ? Fault::kStraggle
                                  : Fault::kNone;
    straggle_factor_ = json.is_object() ? json.value("factor", 10) : 10;
    exchange->Reply(JsonResponse(200, {{"mode", mode}}));
    if (fault_ == Fault::kFreeze) return;
    for (const ExchangePtr& frozen : frozen_exchanges_) Serve(frozen);
    frozen_exchanges_.clear();
  }

  void Serve(const ExchangePtr& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.method != "POST") {
      exchange->Reply(JsonResponse(200, Json::object()));
      return;
    }
    const Json body = Json::parse(request.body, nullptr, false);
    const bool is_object = body.is_object();
    Json start{{"job", request.Header("geranium-job").value_or("")},
               {"task", request.Header("geranium-task").value_or("")},
               {"attempt", request.Header("geranium-attempt").value_or("")},
               {"path", request.path},
               {"at_ms", clock_.Now().ms()}};
    if (is_object && body.contains("id")) start["id"] = body["id"];
    starts_.push_back(start);
    if (fault_ == Fault::kFail) {
      exchange->Reply(JsonResponse(
          500, {{"message", "failing on purpose: fault mode is fail"}}));
      return;
    }
    std::int64_t run_ms =
        is_object ? body.value("run_ms", kDefaultRunMs) : kDefaultRunMs;
    if (fault_ == Fault::kStraggle) run_ms *= straggle_factor_;
    run_ms = std::min(run_ms, kMaxRunMs);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(run_ms));
    timer->async_wait([timer, exchange, start](const auto& /*error*/) {
      Json answer{{"ran", true}};
      if (start.contains("id")) answer["id"] = start["id"];
      exchange->Reply(JsonResponse(200, answer));
    });
  }

  boost::asio::io_context& io_;
  SystemClock clock_;
  Fault fault_ = Fault::kNone;
  std::int64_t straggle_factor_ = 10;
  Json starts_ = Json::array();
  std::vector<ExchangePtr> frozen_exchanges_;
  HttpServer server_;
};

}  // namespace
}  // namespace geranium

int main(int argc, char** argv) {
  cxxopts::Options options("backend-server", "Stand-in for a backend server.");
  options.add_options()("h,help", "print this page")(
      "listen", "ip:port", cxxopts::value<std::string>());
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    boost::asio::io_context io;
    const geranium::BackendServer server(io,
                                         parsed["listen"].as<std::string>());
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "backend-server: " << error.what() << "\n";
    return 64;
  }
  return 0;
}
