// What one accepted request makes the processes keep, copy or send must stay
// within the memory of the smallest machine, whatever the request asks for.

#include <signal.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "link/codec.h"
#include "process/crowd.h"
#include "process/eventually.h"
#include "process/flood.h"
#include "process/step_site.h"

namespace geranium::process {
namespace {

/// The smallest entry has 120 MB, an agent 128 MB.
constexpr std::size_t kMaxMemory = 96'000'000;
/// With limits that are set low.
constexpr std::size_t kMaxLimitedMemory = 32'000'000;
/// A worker takes 64 connections; an agent uses as many besides at most.
constexpr std::size_t kMaxAgentDescriptors = 128;
/// No client that keeps to the platform's interface has a longer `spec`.
constexpr std::size_t kLegalSpecBytes = 4000;

struct JobShape {
  int tasks = 1;
  int milli_cores = 0;
  std::size_t spec_bytes = 0;  ///< 0: as short as it can be.
  int work_ms = 1;
  int max_per_worker = 0;
};

std::string JobId(int number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

std::string Target(int number) { return "/desk/" + JobId(number); }

std::string Body(const JobShape& shape) {
  using Json = nlohmann::json;
  Json spec{{"work_ms", shape.work_ms}, {"cpu", 0}, {"pad", ""}};
  const std::size_t bytes = spec.dump().size();
  if (bytes < shape.spec_bytes) {
    spec["pad"] = std::string(shape.spec_bytes - bytes, 'x');
  }
  Json step{{"count", shape.tasks}, {"estimated-ms", shape.work_ms}};
  if (shape.milli_cores > 0) step["cpu"] = shape.milli_cores;
  if (shape.max_per_worker > 0) step["anti-affinity"] = shape.max_per_worker;
  return Json{{"spec", spec.dump()},
              {"best-effort", true},
              {"steps", {std::move(step)}}}
      .dump();
}

/// One agent and a few entries, ready to serve.
class UntrustedJobsSite : public StepSite {
 public:
  explicit UntrustedJobsSite(StepSiteOptions options)
      : StepSite(std::move(options)) {
    REQUIRE(Eventually([&] { return Publish(Manifest(3)); }));
    REQUIRE(Eventually([&] { return IsReady(); }));
    lost_links_ = CountLostLinks();
  }

  /// `jobs` on each of `connections` connections, one after the other.
  void SubmitJobs(int connections, int jobs, const JobShape& shape) {
    const std::string body = Body(shape);
    std::vector<Conversation> conversations(connections);
    for (Conversation& conversation : conversations) {
      for (int i = 0; i < jobs; ++i) {
        conversation.push_back(MakeRequest("POST", Target(next_++), body));
      }
    }
    HoldConversations(CallerAddress(0), conversations);
  }

  /// `jobs` on each of `clients` connections at once; each caller leaves soon.
  void SubmitAndLeave(int clients, int jobs, const JobShape& shape) {
    const std::string body = Body(shape);
    std::vector<Conversation> conversations(clients);
    for (Conversation& conversation : conversations) {
      for (int i = 0; i < jobs; ++i) {
        conversation.push_back(MakeRequest("POST", Target(next_++), body));
      }
    }
    SendAndLeave(CallerAddress(0), conversations);
  }

  void CheckMemory(const std::string& name, std::size_t limit) {
    AwaitSteady(processes().Pid(name));
    REQUIRE_FALSE(processes().HasExited(name));
    const std::size_t memory = PeakMemory(processes().Pid(name));
    std::cout << name << ": " << memory / 1'000'000 << " MB\n";
    CHECK(memory < limit);
  }

  void CheckServes() const {
    CHECK(IsReady());
    CHECK(Submit(0, "00000000000000a1", 20).status == 200);
  }

  void CheckKeptLinks() const { CHECK(CountLostLinks() == lost_links_); }

 private:
  int CountLostLinks() const {
    int count = 0;
    for (const std::string& name : {EntryName(0), AgentName(0)}) {
      std::ifstream log(Program("process-test-" +
                                std::to_string(options().port) + "-" + name +
                                ".log"));
      for (std::string line; std::getline(log, line);) {
        const bool is_lost =
            line.find("event=entry_link_down") != std::string::npos ||
            line.find("event=worker_link_down") != std::string::npos;
        if (is_lost) ++count;
      }
    }
    return count;
  }

  int next_ = 1;
  int lost_links_ = 0;
};

StepSiteOptions SmallSite(int port,
                          std::vector<std::string> entry_settings = {},
                          std::vector<std::string> agent_settings = {}) {
  return {
      port, 1, 1, false, std::move(entry_settings), std::move(agent_settings)};
}

TEST_CASE("Untrusted jobs: a large spec of many tasks is not held per task") {
  UntrustedJobsSite site(SmallSite(25'000));
  site.SubmitJobs(2, 1,
                  {.tasks = 500, .milli_cores = 1, .spec_bytes = 200'000});
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckMemory("agent-0", kMaxMemory);
  site.CheckServes();
  site.CheckKeptLinks();
}

TEST_CASE("Untrusted jobs: the largest spec allowed is not held per task") {
  constexpr int kTasks = 2000;
  UntrustedJobsSite site(SmallSite(25'100, {"entry.max_payload_bytes=65536"}));
  site.SubmitJobs(4, 1,
                  {.tasks = kTasks, .milli_cores = 1, .spec_bytes = 60'000});
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckMemory("agent-0", kMaxMemory);
  site.CheckServes();
  site.CheckKeptLinks();
}

TEST_CASE("Untrusted jobs: many jobs of a large spec stay within an agent") {
  UntrustedJobsSite site(SmallSite(25'200));
  site.SubmitJobs(16, 5,
                  {.tasks = 30, .milli_cores = 1, .spec_bytes = 1'000'000});
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckMemory("agent-0", kMaxMemory);
  site.CheckServes();
  site.CheckKeptLinks();
}

TEST_CASE("Untrusted jobs: tasks that ask for nothing stay within memory") {
  UntrustedJobsSite site(SmallSite(25'300));
  site.SubmitJobs(1, 1, {.tasks = 100'000});
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckMemory("agent-0", kMaxMemory);
  site.CheckServes();
  site.CheckKeptLinks();
}

// The agent is frozen, so that what its worker runs of these jobs cannot be
// stopped.
TEST_CASE(
    "Untrusted jobs: jobs of callers that left are counted to their end") {
  UntrustedJobsSite site(
      SmallSite(25'400, {"entry.max_request_memory_bytes=4194304"}));
  // An entry that has just started holds its jobs for a while.
  site.CheckServes();
  site.processes().Signal("agent-0", SIGSTOP);
  site.SubmitAndLeave(16, 40,
                      {.tasks = 1000, .milli_cores = 10, .max_per_worker = 1});
  site.CheckMemory("entry-0", kMaxLimitedMemory);
  site.processes().Signal("agent-0", SIGCONT);
  REQUIRE(Eventually([&] { return site.IsReady(); }));
  site.CheckServes();
}

TEST_CASE("Untrusted jobs: an agent's descriptors stay below the worker's") {
  UntrustedJobsSite site(SmallSite(25'500));
  const DescriptorWatch watch(site.processes().Pid("agent-0"));
  site.SubmitJobs(1, 1, {.tasks = 1000, .milli_cores = 1, .work_ms = 300});
  site.SubmitAndLeave(4, 5, {.tasks = 1000, .milli_cores = 1, .work_ms = 300});
  AwaitSteady(site.processes().Pid("agent-0"));
  std::cout << "agent-0: " << watch.highest() << " descriptors\n";
  CHECK(watch.highest() < kMaxAgentDescriptors);
  site.CheckServes();
  site.CheckKeptLinks();
}

TEST_CASE("Untrusted jobs: a job deleted again and again is kept once") {
  constexpr int kConnections = 4;
  constexpr int kDeletions = 50'000;
  UntrustedJobsSite site({25'600, 2, 1});
  const Conversation job{
      MakeRequest("POST", Target(1),
                  Body({.tasks = 1, .milli_cores = 10, .work_ms = 5000}))};
  std::vector<Conversation> conversations(
      kConnections,
      Conversation(kDeletions, MakeRequest("DELETE", Target(1), "")));
  conversations.push_back(job);
  HoldConversations(site.CallerAddress(0), conversations);
  site.CheckMemory("entry-0", kMaxLimitedMemory);
  site.CheckMemory("entry-1", kMaxLimitedMemory);
  site.CheckServes();
  site.CheckKeptLinks();
}

/// The head of a masked WebSocket frame, binary and final; the mask is 0.
std::string FrameHead(std::size_t bytes) {
  constexpr std::size_t kShort = 126;
  const std::string mask(4, '\0');
  if (bytes < kShort)
    return std::string("\x82") + static_cast<char>(0x80U | bytes) + mask;
  std::string head("\x82\xff");
  for (int shift = 56; shift >= 0; shift -= 8) {
    head += static_cast<char>(bytes >> static_cast<unsigned>(shift));
  }
  return head + mask;
}

// Anybody can send a valid first frame.
TEST_CASE("Untrusted jobs: large messages of a peer stay within an entry") {
  constexpr std::size_t kMessageBytes = 24'000'000;
  UntrustedJobsSite site(SmallSite(25'800));
  Hello hello;
  hello.role = ProcessRole::kAgent;
  hello.incarnation = Incarnation(1);
  const std::string first = EncodeFrame({hello});
  const Flood flood{"large messages",
                    "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
                    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n" +
                        FrameHead(first.size()) + first +
                        FrameHead(kMessageBytes),
                    "x", kMessageBytes - 100'000};
  const auto crowd = SendFloods(site.LinkAddress(0), flood, 8);
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckServes();
}

TEST_CASE("Untrusted jobs: a body above the operator's limit is refused") {
  UntrustedJobsSite site(SmallSite(25'900));
  auto manifest = nlohmann::json::parse(StepSite::Manifest(4));
  manifest["limits"] = {{"max-body-bytes", 2000}};
  REQUIRE(site.Publish(manifest.dump()));
  const std::string body = Body({.spec_bytes = 3000});
  CHECK(Eventually([&] {
    return site.Send(site.CallerAddress(0), "POST", Target(1), body).status ==
           413;
  }));
  site.CheckServes();
}

TEST_CASE(
    "Untrusted jobs: an announcement as large as no worker's is refused") {
  UntrustedJobsSite site(SmallSite(26'000));
  const std::string body =
      R"({"labels":[")" + std::string(100'000, 'x') + "\"]}";
  CHECK(site.Send(site.RegistrationAddress(0), "POST",
                  "/-/Instances.Heartbeat/i-9", body)
            .status == 413);
  site.CheckServes();
}

// In calm, the largest request that keeps to the platform's interface is
// served.
TEST_CASE(
    "Untrusted jobs: a job of the longest spec and many tasks is served") {
  UntrustedJobsSite site(SmallSite(25'700));
  const HttpResponse response = site.Send(
      site.CallerAddress(0), "POST", Target(1),
      Body({.tasks = 2000, .milli_cores = 10, .spec_bytes = kLegalSpecBytes}));
  CHECK(response.status == 200);
  site.CheckMemory("entry-0", kMaxMemory);
  site.CheckMemory("agent-0", kMaxMemory);
  site.CheckServes();
  site.CheckKeptLinks();
}

}  // namespace
}  // namespace geranium::process
