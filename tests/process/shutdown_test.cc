#include <signal.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <thread>

#include "process/process_site.h"

namespace geranium::process {
namespace {

using boost::asio::ip::tcp;

/// Sends raw bytes to a server and reads until the server closes.
std::string Exchange(const std::string& address, const std::string& bytes,
                     bool half_close) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  const auto colon = address.find(':');
  socket.connect(tcp::endpoint(
      boost::asio::ip::make_address(address.substr(0, colon)),
      static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))));
  boost::asio::write(socket, boost::asio::buffer(bytes));
  if (half_close) socket.shutdown(tcp::socket::shutdown_send);
  std::string received;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
  return received;
}

std::string RawRequest(const std::string& body, const std::string& extra) {
  return "POST /v1/services/lookup/requests HTTP/1.1\r\nHost: x\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE(
    "Process agents terminated one after the other interrupt no request") {
  ProcessSite site(24000);
  std::vector<std::future<Answer>> answers;
  for (int worker = 1; worker <= ProcessSite::kWorkers; ++worker) {
    int sent = 0;
    const auto book = [&] {
      const std::string id =
          "roll/" + std::to_string(worker) + "-" + std::to_string(sent);
      answers.push_back(site.RequestAsync(1 + sent++ % 2, "booking", 200, id));
    };
    for (int i = 0; i < 12; ++i) book();
    const std::string agent = "agent-" + std::to_string(worker);
    // Each booking goes to the better of two randomly chosen workers, so this
    // worker may get none for a while: keep booking until it gets one.
    REQUIRE(Eventually([&] {
      if (site.CountStarts("roll", worker) > 0) return true;
      book();
      return false;
    }));
    site.Signal(agent, SIGTERM);
    CHECK(site.AwaitExit(agent) == 0);
    const int starts = site.CountStarts("", worker);
    CHECK(site.Request(1, "booking", 5, "between").IsComplete());
    CHECK(site.CountStarts("", worker) == starts);
    site.StartAgent(worker);
    site.AwaitWorkers(4);
  }
  for (auto& answer : answers) CHECK(answer.get().IsComplete());
  CHECK(site.MaxStartsPerTask("roll") == 1);
}

TEST_CASE("Process entries terminated under load answer all they admitted") {
  ProcessSite site(24400);
  for (int round = 0; round < 2; ++round) {
    for (int entry = 1; entry <= ProcessSite::kEntries; ++entry) {
      const std::string id =
          "end" + std::to_string(round) + std::to_string(entry);
      const int admitted_before = site.CountAdmitted(entry);
      std::vector<std::future<Answer>> answers;
      for (int i = 0; i < 20; ++i) {
        answers.push_back(site.RequestAsync(entry, "booking", 200,
                                            id + "/" + std::to_string(i)));
      }
      auto job = site.SubmitJobAsync(entry, 8, 200, id + "-job");
      // Threads of the test send the 20 requests and the job. One that reached
      // the entry only after the signal would be refused, so wait for all.
      REQUIRE(Eventually([&] {
        return site.CountAdmitted(entry) == admitted_before + 21 &&
               site.CountStarts(id) > 4;
      }));
      const std::string name = "entry-" + std::to_string(entry);
      site.Signal(name, SIGTERM);
      // It still answers during its linger time; what it refuses has not run.
      REQUIRE(Eventually([&] {
        return site.Call(site.EntryHttpAddress(entry), "GET", "/readyz")
                   .status != 200;
      }));
      const Answer late = site.Request(entry, "booking", 5, id + "-late");
      if (late.status != 0) {
        CHECK(late.status == 503);
        CHECK(late.Execution() == "not_run");
        CHECK(site.CountStarts(id + "-late") == 0);
      }
      const auto check_complete = [](const Answer& answer) {
        INFO("status " << answer.status << " " << answer.body.dump());
        CHECK(answer.IsComplete());
      };
      for (auto& answer : answers) check_complete(answer.get());
      check_complete(job.get());
      CHECK(site.AwaitExit(name) == 0);
      CHECK(site.MaxStartsPerTask(id) == 1);
      site.StartEntry(entry);
      site.AwaitWorkers(4);
    }
  }
}

TEST_CASE(
    "Process half-closed and pipelined connections get complete answers") {
  ProcessSite site(24800);
  const std::string half = Exchange(
      site.EntryHttpAddress(1),
      RawRequest(R"({"run_ms":200,"id":"half"})", "Connection: close\r\n"),
      true);
  CHECK(half.find("200 OK") != std::string::npos);
  CHECK(half.find("\"half\"") != std::string::npos);
  const std::string both = Exchange(
      site.EntryHttpAddress(1),
      RawRequest(R"({"run_ms":150,"id":"slow"})", "") +
          RawRequest(R"({"run_ms":1,"id":"quick"})", "Connection: close\r\n"),
      false);
  const auto slow = both.find("\"slow\"");
  const auto quick = both.find("\"quick\"");
  REQUIRE(slow != std::string::npos);
  REQUIRE(quick != std::string::npos);
  CHECK(slow < quick);
}

TEST_CASE("Process invalid input gets the matching status and execution") {
  ProcessSite site(25200);
  const std::string entry = site.EntryHttpAddress(1);
  const std::string garbage = Exchange(entry, "garbage\r\n\r\n", true);
  CHECK(garbage.find("400") != std::string::npos);
  CHECK(garbage.find("not_run") != std::string::npos);
  const std::string large =
      Exchange(entry,
               "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999"
               "\r\n\r\n{",
               true);
  CHECK(large.find("413") != std::string::npos);
  const Json no_tasks{{"service", "batch"}};
  CHECK(site.Call(entry, "POST", "/v1/jobs", no_tasks).status == 400);
  const Json unknown{{"service", "none"}, {"tasks", {Json::object()}}};
  CHECK(site.Call(entry, "POST", "/v1/jobs", unknown).status == 404);
  const Json huge{{"service", "batch"},
                  {"tasks", {{{"size", {{"cpu", 500}}}}}}};
  const Answer refused = site.Call(entry, "POST", "/v1/jobs", huge);
  CHECK(refused.status == 422);
  CHECK(refused.Execution() == "not_run");
  const Json late{{"service", "batch"},
                  {"deadline_ms", 500},
                  {"tasks", {{{"payload", {{"run_ms", 5000}}}}}}};
  const Answer expired = site.Call(entry, "POST", "/v1/jobs", late);
  CHECK(expired.status == 504);
  CHECK(expired.Execution() == "may_have_run");
  CHECK(site.Call(entry, "GET", "/v1/jobs/0000000000000001-1").status == 404);
  CHECK(site.Call(entry, "GET", "/nothing").status == 404);
}

TEST_CASE("Process cancelled job reports the tasks that have not run") {
  ProcessSite site(25600);
  auto job = site.SubmitJobAsync(1, 40, 1000, "cancel");
  REQUIRE(Eventually([&] { return site.CountStarts("cancel") >= 16; }));
  const Answer status =
      site.Call(site.EntryHttpAddress(1), "GET", "/v1/operator/status");
  REQUIRE(status.body.at("open_jobs") == 1);
  const std::string id =
      status.body.at("incarnation").get<std::string>() + "-1";
  const Answer cancelled =
      site.Call(site.EntryHttpAddress(1), "DELETE", "/v1/jobs/" + id);
  CHECK(cancelled.body.value("status", "") == "failed");
  int not_run = 0;
  for (const Json& task : cancelled.body.at("tasks")) {
    const std::string execution = task.at("error").at("execution");
    if (execution == "not_run") ++not_run;
  }
  CHECK(not_run > 0);
  CHECK(job.get().status == 409);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(site.CountStarts("cancel") <= 40 - not_run);
}

TEST_CASE(
    "Process settings examples pass the check and invalid settings fail it") {
  const std::string etc = std::string(GERANIUM_SOURCE_DIR) + "/etc/";
  const std::string entry = Program("geranium-entry");
  const std::string agent = Program("geranium-agent");
  CHECK(RunProgram({entry, "--settings", etc + "entry.ini", "--check"}) == 0);
  CHECK(RunProgram({agent, "--settings", etc + "agent.ini", "--check"}) == 0);
  CHECK(RunProgram({Program("geraniumctl"), "check", etc + "services.ini"}) ==
        0);
  CHECK(RunProgram({Program("geraniumctl"), "--settings",
                    etc + "geraniumctl.ini", "--check-settings"}) == 0);
  const std::vector<std::string> mistakes = {
      "entry.colour=red",           "entry.heartbeat_ms=1s",
      "entry.http_address=home",    "dispatch.policy=best",
      "log.key_window_ms=99999999", "nothing.x=1"};
  for (const std::string& mistake : mistakes) {
    INFO(mistake);
    CHECK(RunProgram({entry, "--settings", etc + "entry.ini", "--set", mistake,
                      "--check"}) == 78);
  }
  CHECK(RunProgram({entry, "--no-such-flag"}) == 64);
  CHECK(RunProgram({entry, "--check"}) == 78);
  CHECK(RunProgram({agent, "--version"}) == 0);
}

TEST_CASE("Process exit does not wait for static destructors") {
  ProcessGroup processes(27'950);
  processes.Spawn("end", {Program("end-process-program")});
  REQUIRE(Eventually([&] { return processes.HasExited("end"); }));
  CHECK(processes.AwaitExit("end") == 3);
  std::ifstream log(Program("process-test-27950-end.log"));
  std::string line;
  std::getline(log, line);
  CHECK_THAT(line, Catch::Contains("event=stopped"));
}

}  // namespace
}  // namespace geranium::process
