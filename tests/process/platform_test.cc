#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "process/eventually.h"
#include "process/step_site.h"

namespace geranium::process {
namespace {

using Json = nlohmann::json;

/// Two entries and three agents, ready to serve.
class PlatformSite : public StepSite {
 public:
  static constexpr int kEntries = 2;
  static constexpr int kWorkers = 3;

  explicit PlatformSite(int port) : StepSite({port, kEntries, kWorkers}) {
    REQUIRE(Eventually([&] { return Publish(Manifest(3)); }));
    REQUIRE(Eventually([&] { return IsReady(); }));
  }

  std::future<HttpResponse> SubmitAsync(int entry, const std::string& id,
                                        int work_ms, int tasks = 4) const {
    return std::async(std::launch::async,
                      [=, this] { return Submit(entry, id, work_ms, tasks); });
  }

  void CheckNoViolations() const {
    CHECK(FetchWorkerReport().at("violations") == Json::array());
  }
};

void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

TEST_CASE("Platform without faults every job completes at both entries") {
  PlatformSite site(27'000);
  std::vector<std::future<HttpResponse>> answers;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "00000000000000" + std::to_string(10 + i);
    answers.push_back(site.SubmitAsync(i % 2, id, 100));
  }
  for (auto& answer : answers) {
    const HttpResponse response = answer.get();
    CHECK(response.status == 200);
    CHECK(response.body == R"({"state":"completed"})");
  }
  CHECK(site.FetchWorkerReport().at("starts") == 48);
  const std::string entry =
      site.Send(site.EntryMetricsAddress(0), "GET", "/metrics", "").body;
  CHECK_THAT(entry, Catch::Contains(
                        "geranium_step_answers_total{answer=\"completed\"} 6"));
  CHECK_THAT(entry, Catch::Contains("geranium_step_answer_seconds_count"));
  CHECK_THAT(site.Send(site.AgentMetricsAddress(0), "GET", "/metrics", "").body,
             Catch::Contains("geranium_session_fresh 1"));
  site.CheckNoViolations();
}

TEST_CASE("Platform malformed and unroutable requests get their error status") {
  PlatformSite site(27'100);
  const std::string entry = site.CallerAddress(0);
  CHECK(site.Send(entry, "POST", "/desk/0000000000000001", "{").status == 400);
  CHECK(site.Send(entry, "POST", "/none/0000000000000001", "{}").status == 404);
  CHECK(site.Send(entry, "GET", "/desk/", "").body == R"({"pending":0})");
  CHECK(site.Send(entry, "GET", "/desk/0000000000000001", "").status == 410);
  // A durable job is refused as a whole; none of its tasks runs.
  const std::string stored = R"({"steps":[{"count":1,"cpu":1}]})";
  CHECK(site.Send(entry, "POST", "/desk/0000000000000002", stored).status ==
        503);
  CHECK(site.Send(site.RegistrationAddress(0), "POST",
                  "/-/Instances.Heartbeat/i-0", R"({"state":7})")
            .status == 400);
  CHECK(site.Submit(0, "0000000000000003", 50).status == 200);
  CHECK(site.FetchWorkerReport().at("starts") == 4);
}

TEST_CASE("Platform agent killed with tasks running: the job completes") {
  PlatformSite site(27'200);
  auto answer = site.SubmitAsync(0, "00000000000000a1", 1200, 12);
  REQUIRE(
      Eventually([&] { return site.FetchWorkerReport().at("starts") >= 12; }));
  site.processes().Signal("agent-1", SIGKILL);
  site.processes().AwaitExit("agent-1");
  site.StartAgent(1);
  CHECK(answer.get().status == 200);
  CHECK(site.FetchWorkerReport().at("starts") > 12);
  site.CheckNoViolations();
}

TEST_CASE("Platform entry killed, its job resubmitted: no task runs twice") {
  PlatformSite site(27'300);
  auto broken = site.SubmitAsync(0, "00000000000000b1", 1500, 12);
  REQUIRE(
      Eventually([&] { return site.FetchWorkerReport().at("starts") >= 12; }));
  site.processes().Signal("entry-0", SIGKILL);
  CHECK(broken.get().status == 0);
  site.processes().AwaitExit("entry-0");
  Sleep(1300);  // A caller's delay before it resubmits a job.
  CHECK(site.Submit(1, "00000000000000b1", 1500, 12).status == 200);
  site.CheckNoViolations();
}

TEST_CASE("Platform agent stopped with tasks running: they run elsewhere") {
  PlatformSite site(27'400);
  auto answer = site.SubmitAsync(0, "00000000000000c1", 700, 12);
  REQUIRE(
      Eventually([&] { return site.FetchWorkerReport().at("starts") >= 12; }));
  site.processes().Signal("agent-2", SIGSTOP);
  CHECK(answer.get().status == 200);
  site.processes().Signal("agent-2", SIGCONT);
  CHECK(site.Submit(1, "00000000000000c2", 100, 12).status == 200);
  site.CheckNoViolations();
}

TEST_CASE(
    "Platform start orders unanswered and executed late: no task runs twice") {
  PlatformSite site(27'500);
  for (int i = 0; i < PlatformSite::kWorkers; ++i) {
    site.Control("worker", {{"worker", i}, {"unanswered", 0.3}});
  }
  for (int i = 0; i < 4; ++i) {
    const std::string id = "00000000000000d" + std::to_string(i);
    CHECK(site.Submit(i % 2, id, 300, 6).status == 200);
  }
  Sleep(2600);  // Until the late orders have been executed.
  site.CheckNoViolations();
}

TEST_CASE("Platform worker restarted: its running tasks run again") {
  PlatformSite site(27'600);
  auto answer = site.SubmitAsync(0, "00000000000000e1", 900, 12);
  REQUIRE(
      Eventually([&] { return site.FetchWorkerReport().at("starts") >= 12; }));
  site.Control("worker", {{"worker", 0}, {"restart", true}});
  CHECK(answer.get().status == 200);
  site.CheckNoViolations();
}

TEST_CASE("Platform store outage: jobs complete and changes apply afterwards") {
  PlatformSite site(27'700);
  site.Control("store", {{"up", false}});
  CHECK(site.Submit(0, "00000000000000f1", 100).status == 200);
  site.Control("put", {{"key", "config"},
                       {"value", PlatformSite::Manifest(8, "/other/")}});
  Sleep(300);
  CHECK(site.Submit(1, "00000000000000f2", 100).status == 200);
  site.Control("store", {{"up", true}});
  CHECK(Eventually(
      [&] { return site.Submit(1, "00000000000000f3", 100).status == 404; },
      Duration(2000)));
}

TEST_CASE("Platform entry terminated: it finishes the jobs it has accepted") {
  PlatformSite site(27'800);
  auto answer = site.SubmitAsync(0, "00000000000000aa", 800);
  REQUIRE(
      Eventually([&] { return site.FetchWorkerReport().at("starts") >= 4; }));
  site.processes().Signal("entry-0", SIGHUP);
  site.processes().Signal("entry-0", SIGTERM);
  CHECK(Eventually([&] {
    return site.Send(site.ReadyAddress(0), "GET", "/-/readyz", "").status ==
           503;
  }));
  CHECK(answer.get().status == 200);
  CHECK(site.processes().AwaitExit("entry-0") == 0);
  site.processes().Signal("agent-0", SIGTERM);
  CHECK(site.processes().AwaitExit("agent-0") == 0);
}

// Guards against a connection that ends without an answer when the grace time
// does.
TEST_CASE(
    "Platform entry terminated with a job that outlasts its grace time: the "
    "job is answered") {
  PlatformSite site(26'600);
  auto answer = site.SubmitAsync(0, "00000000000000ad", 9000);
  REQUIRE(
      Eventually([&] { return site.FetchWorkerReport().at("starts") >= 4; }));
  site.processes().Signal("entry-0", SIGTERM);
  CHECK(answer.get().status == 504);
  CHECK(site.processes().AwaitExit("entry-0") == 0);
}

// The request waits unread when the entry, resumed, finds its time to end past.
TEST_CASE(
    "Platform entry terminated and stopped for a while: it answers what it was "
    "sent meanwhile") {
  PlatformSite site(30'400);
  site.processes().Signal("entry-0", SIGTERM);
  Sleep(3200);
  site.processes().Signal("entry-0", SIGSTOP);
  auto answer = site.SubmitAsync(0, "00000000000000ac", 20);
  Sleep(800);
  site.processes().Signal("entry-0", SIGCONT);
  const int status = answer.get().status;
  CAPTURE(status);
  CHECK((status == 200 || status == 503));
  CHECK(site.processes().AwaitExit("entry-0") == 0);
}

// Guards against a shutdown that waits for the job of a caller that hung up.
TEST_CASE(
    "Platform entry terminated after its callers hung up: it exits cleanly") {
  PlatformSite site(28'900);
  {
    boost::asio::io_context io;
    HttpClient client(io);
    HttpCall call;
    call.address = site.CallerAddress(0);
    call.method = "POST";
    call.target = "/desk/00000000000000ab";
    call.headers["Host"] = "callers.example";
    call.body = StepSite::JobBody(3000, 2);
    call.timeout = Duration(300);
    client.Start(std::move(call), [](const HttpOutcome&) {});
    io.run();
  }
  REQUIRE(Eventually([&] {
    const std::string metrics =
        site.Send(site.EntryMetricsAddress(0), "GET", "/metrics", "").body;
    return metrics.find("geranium_step_cancelled_total 1") != std::string::npos;
  }));
  site.processes().Signal("entry-0", SIGTERM);
  CHECK(site.processes().AwaitExit("entry-0") == 0);
}

std::int64_t CountCopies(const StepSite& site, const std::string& what) {
  std::int64_t count = 0;
  const std::string name = "\ngeranium_route_table_copies_" + what + "_total ";
  for (int i = 0; i < site.options().entries; ++i) {
    const std::string metrics =
        site.Send(site.EntryMetricsAddress(i), "GET", "/metrics", "").body;
    const auto at = metrics.find(name);
    REQUIRE(at != std::string::npos);
    count += std::stoll(metrics.substr(at + name.size()));
  }
  return count;
}

// Guards against a site that refuses everything because all entries start while
// the operator's log is unavailable.
TEST_CASE(
    "Platform entries all restarted without the operator's log: they serve "
    "with a copy of the route table and follow the log afterwards") {
  StepSite site({30'600, 3, 2, false, {"entry.route_table_copies=2"}});
  REQUIRE(Eventually([&] { return site.Publish(StepSite::Manifest(3)); }));
  REQUIRE(Eventually([&] { return site.IsReady(); }));
  REQUIRE(Eventually([&] { return CountCopies(site, "written") >= 2; }));
  // One of the two copies is unavailable as well.
  for (const auto& [topic, part] :
       {std::pair("keyed.op", 0), std::pair("keyed.routes", 1)}) {
    site.Control("store", {{"topic", topic}, {"part", part}, {"up", false}});
  }
  for (int i = 0; i < 3; ++i) {
    site.processes().Signal(StepSite::EntryName(i), SIGKILL);
    site.processes().AwaitExit(StepSite::EntryName(i));
  }
  for (int i = 0; i < 3; ++i) site.StartEntry(i);
  REQUIRE(Eventually([&] { return site.IsReady(); }));
  CHECK(site.Submit(0, "0000000000000ab1", 50).status == 200);
  CHECK(site.Submit(2, "0000000000000ab2", 50).status == 200);
  CHECK(CountCopies(site, "adopted") >= 1);
  CHECK(site.Publish(StepSite::Manifest(4, "/other/")));
  CHECK(site.Submit(1, "0000000000000ab3", 50).status == 200);
  site.Control("store", {{"topic", "keyed.op"}, {"up", true}});
  CHECK(Eventually(
      [&] { return site.Submit(1, "0000000000000ab4", 50).status == 404; },
      Duration(2000)));
}

}  // namespace
}  // namespace geranium::process
