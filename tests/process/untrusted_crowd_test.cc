// Clients that each stay just below the limits of one connection must not bring
// a process down together.

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "process/eventually.h"
#include "process/flood.h"
#include "process/step_site.h"

namespace geranium::process {
namespace {

constexpr std::size_t kMaxMemory = 96'000'000;
/// Descriptors that an entry of such a site uses without callers.
constexpr std::size_t kOwnDescriptors = 64;

class CrowdedSite : public StepSite {
 public:
  explicit CrowdedSite(int port, std::vector<std::string> entry_settings = {},
                       std::vector<std::string> agent_settings = {})
      : StepSite({port, 1, 1, false, std::move(entry_settings),
                  std::move(agent_settings)}) {
    REQUIRE(Eventually([&] { return Publish(Manifest(3)); }));
    REQUIRE(Eventually([&] { return IsReady(); }));
  }

  void CheckMemory(const std::string& name, std::size_t limit) {
    AwaitSteady(processes().Pid(name));
    REQUIRE_FALSE(processes().HasExited(name));
    const std::size_t memory = PeakMemory(processes().Pid(name));
    const std::size_t descriptors = CountDescriptors(processes().Pid(name));
    std::cout << name << ": " << memory / 1'000'000 << " MB, " << descriptors
              << " descriptors\n";
    CHECK(memory < limit);
  }

  void CheckServes() const {
    CHECK(IsReady());
    CHECK(Submit(0, "00000000000000a1", 20).status == 200);
  }
};

/// A request whose body lacks its last byte.
Flood UnfinishedBody(const std::string& target, std::size_t bytes) {
  return {"unfinished body",
          "POST " + target + " HTTP/1.1\r\nHost: callers.example\r\n" +
              "Content-Length: " + std::to_string(bytes + 70'000) + "\r\n\r\n",
          "x", bytes};
}

/// A complete request.
std::string Request(const std::string& body) {
  return "POST /desk/00000000000000ee HTTP/1.1\r\nHost: callers.example\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("Untrusted crowd: unfinished bodies stay within an entry's memory") {
  CrowdedSite site(31'600);
  // 640 bodies of 192 KB are 123 MB.
  const auto crowd =
      SendFloods(site.CallerAddress(0),
                 UnfinishedBody("/desk/00000000000000ee", 190'000), 640);
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckServes();
}

TEST_CASE("Untrusted crowd: unfinished bodies stay within the memory set") {
  CrowdedSite site(31'700, {"entry.max_request_memory_bytes=4194304"});
  const auto crowd =
      SendFloods(site.CallerAddress(0),
                 UnfinishedBody("/desk/00000000000000ee", 190'000), 200);
  site.CheckMemory("entry-0", 32'000'000);
  site.CheckServes();
}

TEST_CASE("Untrusted crowd: unfinished bodies at an agent's registration") {
  CrowdedSite site(31'800, {}, {"agent.max_request_memory_bytes=4194304"});
  const auto crowd =
      SendFloods(site.RegistrationAddress(0),
                 UnfinishedBody("/-/Instances.Heartbeat/i-9", 190'000), 200);
  site.CheckMemory("agent-0", 32'000'000);
  site.CheckServes();
}

TEST_CASE("Untrusted crowd: unfinished bodies at the ready and metrics ports") {
  CrowdedSite site(31'900);
  const Flood flood = UnfinishedBody("/metrics", 190'000);
  const auto ready = SendFloods(site.ReadyAddress(0), flood, 300);
  const auto metrics = SendFloods(site.EntryMetricsAddress(0), flood, 300);
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckServes();
}

// A parsed body can take many times its size.
TEST_CASE("Untrusted crowd: large bodies of many values") {
  CrowdedSite site(32'000);
  const std::size_t bytes = GENERATE(260'000, 8'000'000);
  const std::string unit = GENERATE("{},", "[],");
  CAPTURE(bytes, unit);
  std::string steps;
  while (steps.size() < bytes) steps += unit;
  steps.pop_back();
  const std::string request =
      Request(R"({"best-effort":true,"steps":[)" + steps + "]}");
  const auto crowd = SendFloods(site.CallerAddress(0), {"", request, "", 0}, 8);
  site.CheckServes();
  site.CheckMemory("entry-0", kMaxMemory);
}

// The entry keeps state for each task of a job that it has admitted.
TEST_CASE("Untrusted crowd: small bodies of many tasks") {
  CrowdedSite site(32'300);
  std::string steps = R"({"count":100000})";
  for (int i = 1; i < 20; ++i) steps += R"(,{"count":100000})";
  const std::string request =
      Request(R"({"best-effort":true,"steps":[)" + steps + "]}");
  const auto crowd = SendFloods(site.CallerAddress(0), {"", request, "", 0}, 8);
  site.CheckServes();
  site.CheckMemory("entry-0", kMaxMemory);
}

TEST_CASE("Untrusted crowd: connections stay under the number set") {
  constexpr std::size_t kConnections = 40;
  CrowdedSite site(32'100, {"entry.max_connections=40"});
  const auto crowd = SendFloods(site.CallerAddress(0), {"", "P", "", 0}, 300);
  site.CheckMemory("entry-0", kMaxMemory);
  CHECK(CountDescriptors(site.processes().Pid("entry-0")) <
        kConnections + kOwnDescriptors);
  site.CheckServes();
}

// With no descriptor left, an entry could reach neither the operator's log nor
// answer that it is ready.
TEST_CASE("Untrusted crowd: connections leave descriptors to the process") {
  CrowdedSite site(32'200);
  const pid_t pid = site.processes().Pid("entry-0");
  const rlimit limit{200, 200};
  REQUIRE(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0);
  const bool at_callers = GENERATE(true, false);
  CAPTURE(at_callers);
  const auto crowd =
      SendFloods(at_callers ? site.CallerAddress(0) : site.LinkAddress(0),
                 {"", "P", "", 0}, 300);
  site.CheckMemory("entry-0", kMaxMemory);
  CHECK(CountDescriptors(pid) < 190);
  site.CheckServes();
}

}  // namespace
}  // namespace geranium::process
