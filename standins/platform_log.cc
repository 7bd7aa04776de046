// Stand-in for the platform's append-only log service, for tests and the demo:
// in-memory streams, long polls and injected faults (POST /v1/fault).

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>

#include "log_store.h"
#include "runtime/answers.h"
#include "runtime/http_server.h"

namespace geranium {
namespace {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr std::size_t kMaxBatchRecords = 500;
constexpr std::size_t kMaxBatchBytes = 4U << 20U;
constexpr auto kTickInterval = std::chrono::milliseconds(10);

enum class Fault { kNone, kOutage, kSlow, kLoseAnswers };

class PlatformLog {
 public:
  PlatformLog(boost::asio::io_context& io, const std::string& address,
              Duration retention, Duration append_delay)
      : io_(io),
        timer_(io),
        append_delay_(append_delay),
        stores_{LogStore(retention), LogStore(retention)},
        server_(io, [this](const ExchangePtr& exchange) { Route(exchange); }) {
    const std::string error = server_.Listen(address);
    if (!error.empty()) throw std::runtime_error(error);
    Tick();
  }

 private:
  struct Poll {
    ExchangePtr exchange;
    LogStream stream;
    LogOffset from;
    TimePoint until;
  };

  void Route(const ExchangePtr& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.path == "/v1/fault") {
      SetFault(exchange);
      return;
    }
    const auto name = PathSegment(request.path, "/v1/streams/", "/records");
    const bool known = name == "configuration" || name == "claims";
    if (!known) {
      exchange->Reply(JsonResponse(
          404,
          {{"message", "unknown stream; expected configuration or claims"}}));
      return;
    }
    if (fault_ == Fault::kOutage) {
      exchange->Reply(JsonResponse(503, {{"message", "outage"}}));
      return;
    }
    const LogStream stream =
        name == "claims" ? LogStream::kClaims : LogStream::kConfiguration;
    const Duration delay = fault_ == Fault::kSlow ? fault_delay_ : Duration(0);
    if (request.method == "POST") {
      RunAfter(append_delay_ + delay,
               [this, exchange, stream] { Append(exchange, stream); });
    } else {
      RunAfter(delay, [this, exchange, stream] { Read(exchange, stream); });
    }
  }

  void SetFault(const ExchangePtr& exchange) {
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    const std::string mode =
        json.is_object() ? json.value("mode", "none") : "none";
    fault_ = mode == "outage"         ? Fault::kOutage
             : mode == "slow"         ? Fault::kSlow
             : mode == "lose_answers" ? Fault::kLoseAnswers
                                      : Fault::kNone;
    fault_delay_ =
        Duration(json.is_object() ? json.value("delay_ms", 1000) : 1000);
    if (fault_ == Fault::kOutage) FailPolls();
    exchange->Reply(JsonResponse(200, {{"mode", mode}}));
  }

  void RunAfter(Duration delay, std::function<void()> action) {
    if (delay == Duration(0)) {
      action();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(delay.ms()));
    timer->async_wait([timer, action = std::move(action)](const auto& error) {
      if (!error) action();
    });
  }

  void Append(const ExchangePtr& exchange, LogStream stream) {
    const HttpRequest& request = exchange->request();
    const LogOffset offset = Store(stream).Append(
        RecordId(request.Query("id", "")), request.body, clock_.Now());
    ServePolls();
    if (fault_ == Fault::kLoseAnswers) {
      exchange->Reply(JsonResponse(
          504, {{"message",
                 "record stored; answer dropped by fault mode lose_answers"}}));
      return;
    }
    exchange->Reply(JsonResponse(200, {{"offset", offset.value()}}));
  }

  void Read(const ExchangePtr& exchange, LogStream stream) {
    const HttpRequest& request = exchange->request();
    const LogOffset from(std::atoll(request.Query("from", "1").c_str()));
    const Duration wait(std::atoll(request.Query("wait_ms", "0").c_str()));
    const Poll poll{exchange, stream, from, clock_.Now() + wait};
    if (from < Store(stream).next() || wait == Duration(0)) {
      Answer(poll);
    } else {
      polls_.push_back(poll);
    }
  }

  void Answer(const Poll& poll) {
    LogStore& store = Store(poll.stream);
    const LogBatch batch =
        store.Read(poll.from, kMaxBatchRecords, clock_.Now());
    Json records = Json::array();
    std::size_t bytes = 0;
    for (const LogRecord& record : batch.records) {
      bytes += record.body.size();
      if (bytes > kMaxBatchBytes && !records.empty()) break;
      records.push_back({{"offset", record.offset.value()},
                         {"id", record.id.value()},
                         {"age_ms", record.age.ms()},
                         {"body", record.body}});
    }
    poll.exchange->Reply(JsonResponse(200, {{"first", batch.first.value()},
                                            {"next", batch.next.value()},
                                            {"records", std::move(records)}}));
  }

  void ServePolls() {
    const TimePoint now = clock_.Now();
    for (auto poll = polls_.begin(); poll != polls_.end();) {
      const bool has_more = poll->from < Store(poll->stream).next();
      if (!has_more && now < poll->until) {
        ++poll;
        continue;
      }
      Answer(*poll);
      poll = polls_.erase(poll);
    }
  }

  void FailPolls() {
    for (const Poll& poll : polls_) {
      poll.exchange->Reply(JsonResponse(503, {{"message", "outage"}}));
    }
    polls_.clear();
  }

  void Tick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const auto& error) {
      if (error) return;
      for (LogStore& store : stores_) store.Expire(clock_.Now());
      ServePolls();
      Tick();
    });
  }

  LogStore& Store(LogStream stream) {
    return stores_[static_cast<std::size_t>(stream)];
  }

  boost::asio::io_context& io_;
  SystemClock clock_;
  boost::asio::steady_timer timer_;
  Duration append_delay_;
  Fault fault_ = Fault::kNone;
  Duration fault_delay_;
  std::array<LogStore, kLogStreamCount> stores_;
  std::list<Poll> polls_;
  HttpServer server_;
};

}  // namespace
}  // namespace geranium

int main(int argc, char** argv) {
  cxxopts::Options options("platform-log", "Stand-in for the log service.");
  options.add_options()("h,help", "print this page")(
      "listen", "ip:port", cxxopts::value<std::string>())(
      "retention-ms", "how long records are kept",
      cxxopts::value<std::int64_t>()->default_value("3600000"))(
      "append-ms", "how long an append takes",
      cxxopts::value<std::int64_t>()->default_value("4"));
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    boost::asio::io_context io;
    const geranium::PlatformLog log(
        io, parsed["listen"].as<std::string>(),
        geranium::Duration(parsed["retention-ms"].as<std::int64_t>()),
        geranium::Duration(parsed["append-ms"].as<std::int64_t>()));
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "platform-log: " << error.what() << "\n";
    return 64;
  }
  return 0;
}
