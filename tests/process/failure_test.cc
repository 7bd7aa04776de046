#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "process/process_site.h"

namespace geranium::process {
namespace {

void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

TEST_CASE(
    "Process agent killed during a job fails the job and runs no task twice") {
  ProcessSite site(20000);
  auto job = site.SubmitJobAsync(1, 16, 800, "kill");
  REQUIRE(Eventually([&] { return site.CountStarts("kill", 1) > 0; }));
  site.Signal("agent-1", SIGKILL);
  site.AwaitExit("agent-1");
  const Answer answer = job.get();
  CHECK(answer.status == 502);
  CHECK(answer.body.value("status", "") == "failed");
  CHECK(answer.body.at("tasks").size() == 16);
  site.StartAgent(1);
  site.AwaitWorkers(4);
  CHECK(site.Request(2, "booking", 10, "kill-after").IsComplete());
  CHECK(site.MaxStartsPerTask("kill") == 1);
  CHECK(site.CountViolations() == 0);
}

TEST_CASE("Process agent stopped and resumed starts no task twice") {
  ProcessSite site(20400);
  site.Signal("agent-2", SIGSTOP);
  std::vector<std::future<Answer>> bookings;
  for (int i = 0; i < 24; ++i) {
    bookings.push_back(site.RequestAsync(1 + i % 2, "booking", 100,
                                         "freeze/" + std::to_string(i)));
  }
  Sleep(1500);
  site.Signal("agent-2", SIGCONT);
  for (auto& booking : bookings) CHECK(booking.get().IsComplete());
  Sleep(500);
  CHECK(site.MaxStartsPerTask("freeze") == 1);
  CHECK(site.CountStarts("freeze") == 24);
  CHECK(site.CountViolations() == 0);
}

TEST_CASE("Process key retried elsewhere after its entry is killed runs once") {
  ProcessSite site(20800);
  auto first = site.RequestAsync(1, "booking", 1500, "claim", "claim-key");
  REQUIRE(Eventually([&] { return site.CountStarts("claim") == 1; }));
  site.Signal("entry-1", SIGKILL);
  site.AwaitExit("entry-1");
  CHECK(first.get().status == 0);
  const Answer second = site.Request(2, "booking", 1500, "claim", "claim-key");
  CHECK(second.status == 409);
  CHECK(second.Execution() == "may_have_run");
  CHECK(site.CountStarts("claim") == 1);
}

TEST_CASE("Process two entries given one key concurrently run it once") {
  ProcessSite site(21200);
  for (int round = 0; round < 10; ++round) {
    const std::string id = "race" + std::to_string(round);
    auto first = site.RequestAsync(1, "booking", 50, id, id);
    auto second = site.RequestAsync(2, "booking", 50, id, id);
    const Answer a = first.get();
    const Answer b = second.get();
    INFO(a.status << " " << a.body.dump() << " " << b.body.dump());
    CHECK(a.IsComplete());
    CHECK(b.IsComplete());
    CHECK(site.CountStarts(id) == 1);
  }
  const Answer other = site.Request(2, "booking", 51, "race0", "race0");
  CHECK(other.status == 409);
}

TEST_CASE(
    "Process data centre taken out starts nothing, even by a resumed entry") {
  ProcessSite site(21600);
  site.Signal("entry-2", SIGSTOP);
  CHECK(site.SetDataCentre("south", false).state == ChangeState::kAccepted);
  Sleep(3000);
  const int before = site.CountStarts("", 2) + site.CountStarts("", 4);
  site.Signal("entry-2", SIGCONT);
  std::vector<std::future<Answer>> answers;
  for (int i = 0; i < 20; ++i) {
    answers.push_back(site.RequestAsync(1 + i % 2, "lookup", 20, "out"));
  }
  int complete = 0;
  for (auto& answer : answers) complete += answer.get().IsComplete() ? 1 : 0;
  CHECK(complete >= 10);
  CHECK(site.CountStarts("", 2) + site.CountStarts("", 4) == before);
  CHECK(site.SetDataCentre("south", true).state == ChangeState::kAccepted);
  const bool back = Eventually(
      [&] {
        (void)site.Request(1, "lookup", 5, "back");
        return site.CountStarts("back", 2) + site.CountStarts("back", 4) > 0;
      },
      Duration(5000));
  CHECK(back);
  CHECK(site.CountViolations() == 0);
}

TEST_CASE(
    "Process concurrent operator changes give one success and one conflict") {
  ProcessSite site(22000);
  const SiteClient operators = site.OperatorClient();
  const auto history = operators.ReadConfiguration();
  REQUIRE(history.has_value());
  const DataCentreState* current =
      FindDataCentre(history.value().reader.state(), DataCentreName("north"));
  const DataCentreRecord record{current->name, false, current->changed};
  CHECK(operators.SubmitChange(record, Duration(5000)).state ==
        ChangeState::kAccepted);
  CHECK(operators.SubmitChange(record, Duration(5000)).state ==
        ChangeState::kConflict);
}

TEST_CASE("Process append whose answer is lost is recovered by its record id") {
  ProcessSite site(22400);
  site.SetLogFault("lose_answers");
  CHECK(site.SetDataCentre("north", false).state == ChangeState::kAccepted);
  const auto key = site.Request(1, "booking", 10, "lost", "lost-key");
  CHECK(key.IsComplete());
  CHECK(site.CountStarts("lost") == 1);
}

TEST_CASE("Process log outage refuses only requests that need the log") {
  ProcessSite site(22800);
  const Answer minted =
      site.Call(site.EntryHttpAddress(1), "POST", "/v1/keys", Json::object());
  site.SetLogFault("outage");
  Sleep(3500);
  CHECK(site.Request(1, "lookup", 10, "idempotent").IsComplete());
  CHECK(site.Request(2, "booking", 10, "keyless").IsComplete());
  const std::string key = minted.body.at("key").get<std::string>();
  CHECK(site.Request(2, "booking", 10, "minted", key).IsComplete());
  CHECK(site.Request(1, "booking", 10, "minted", key).IsComplete());
  CHECK(site.CountStarts("minted") == 1);
  const Answer own = site.Request(1, "booking", 10, "own", "own-key");
  CHECK(own.status == 503);
  CHECK(site.CountStarts("own") == 0);
  // An entry started during the outage gets the configuration from its peers.
  site.Signal("entry-2", SIGKILL);
  site.AwaitExit("entry-2");
  site.StartEntry(2);
  site.AwaitWorkers(4);
  CHECK(site.Request(2, "lookup", 10, "restarted").IsComplete());
  site.SetLogFault("none");
  CHECK(Eventually([&] {
    return site.Request(1, "booking", 10, "own2", "own-key2").IsComplete();
  }));
}

TEST_CASE("Process frozen backend server delays no caller") {
  ProcessSite site(23200);
  for (int i = 0; i < 100; ++i) {
    REQUIRE(site.Request(1, "lookup", 20, "warm").IsComplete());
  }
  site.SetBackendFault(1, "freeze");
  CHECK(site.Call(site.BackendAddress(1), "GET", "/healthz").IsComplete());
  double longest = 0;
  for (int i = 0; i < 60; ++i) {
    const double begin = SystemClock::PreciseMs();
    CHECK(site.Request(1, "lookup", 20, "frozen").IsComplete());
    longest = std::max(longest, SystemClock::PreciseMs() - begin);
  }
  // Twice the service's usual run time (20 ms and overhead) plus 100 ms.
  CHECK(longest < 2 * 30 + 100);
  CHECK(Eventually([&] {
    const Answer status =
        site.Call(site.AgentHttpAddress(1), "GET", "/v1/operator/status");
    return status.body.value("backend", "") == "quiet";
  }));
  site.SetBackendFault(1, "none");
  site.AwaitWorkers(4);
}

TEST_CASE("Process worker that fails every call is quarantined") {
  ProcessSite site(23600);
  site.SetBackendFault(3, "fail");
  int failed = 0;
  for (int i = 0; i < 200; ++i) {
    if (!site.Request(1, "booking", 2, "hole").IsComplete()) ++failed;
  }
  CHECK(failed >= 1);
  CHECK(failed <= 30);
  site.SetBackendFault(3, "none");
  CHECK(Eventually(
      [&] {
        (void)site.Request(1, "booking", 2, "hole-back");
        return site.CountStarts("hole-back", 3) > 8;
      },
      Duration(15'000)));
}

}  // namespace
}  // namespace geranium::process
