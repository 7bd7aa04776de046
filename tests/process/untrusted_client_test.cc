// Clients that send requests without end must not bring a process down: eight
// connections of 24 MB each once raised an entry to 193 MB, and its machine has
// 120 MB.

#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "process/eventually.h"
#include "process/flood.h"
#include "process/step_site.h"

namespace geranium::process {
namespace {

constexpr int kConnections = 8;
constexpr std::size_t kMaxMemory = 96'000'000;

/// One entry and one agent, ready to serve.
class FloodedSite : public StepSite {
 public:
  explicit FloodedSite(int port) : StepSite({port, 1, 1}) {
    REQUIRE(Eventually([&] { return Publish(Manifest(3)); }));
    REQUIRE(Eventually([&] { return IsReady(); }));
  }

  /// Floods a port of the process `name` and checks that the process lives,
  /// within its memory, and that the site still serves.
  void CheckSurvives(const std::string& name, const std::string& address,
                     const Flood& flood) {
    SendFloods(address, flood, kConnections);
    AwaitSteady(processes().Pid(name));
    REQUIRE_FALSE(processes().HasExited(name));
    const std::size_t memory = PeakMemory(processes().Pid(name));
    std::cout << name << " at " << address << ", " << flood.name << ": "
              << memory / 1'000'000 << " MB\n";
    CHECK(memory < kMaxMemory);
    CHECK(IsReady());
    CHECK(Submit(0, "00000000000000a1", 20).status == 200);
  }
};

TEST_CASE("Untrusted clients: endless requests at an entry's caller address") {
  const Flood flood = GENERATE(from_range(EndlessRequests()));
  CAPTURE(flood.name);
  FloodedSite site(31'000);
  site.CheckSurvives("entry-0", site.CallerAddress(0), flood);
}

TEST_CASE("Untrusted clients: endless requests at an entry's ready address") {
  const Flood flood = GENERATE(from_range(EndlessRequests()));
  CAPTURE(flood.name);
  FloodedSite site(31'100);
  site.CheckSurvives("entry-0", site.ReadyAddress(0), flood);
}

TEST_CASE("Untrusted clients: endless requests at an entry's metrics address") {
  const Flood flood = GENERATE(from_range(EndlessRequests()));
  CAPTURE(flood.name);
  FloodedSite site(31'200);
  site.CheckSurvives("entry-0", site.EntryMetricsAddress(0), flood);
}

TEST_CASE("Untrusted clients: endless requests at an agent's registration") {
  const Flood flood = GENERATE(from_range(EndlessRequests()));
  CAPTURE(flood.name);
  FloodedSite site(31'300);
  site.CheckSurvives("agent-0", site.RegistrationAddress(0), flood);
}

TEST_CASE("Untrusted clients: endless requests at an agent's metrics address") {
  const Flood flood = GENERATE(from_range(EndlessRequests()));
  CAPTURE(flood.name);
  FloodedSite site(31'400);
  site.CheckSurvives("agent-0", site.AgentMetricsAddress(0), flood);
}

TEST_CASE("Untrusted clients: endless input at an entry's link address") {
  const std::string upgrade =
      "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  // A masked binary frame of 24,000,000 bytes, and fragments of 1,000 bytes of
  // a message without end. The mask is 0.
  const std::string frame("\x82\xff\0\0\0\0\x01\x6e\x36\0\0\0\0\0", 14);
  const std::string first("\x02\x80\0\0\0\0", 6);
  const std::string fragment =
      std::string("\0\xfe\x03\xe8\0\0\0\0", 8) + std::string(1000, 'x');
  std::vector<Flood> floods = EndlessRequests();
  floods.push_back({"one large message", upgrade + frame, "x", 23'900'000});
  floods.push_back({"endless fragments", upgrade + first, fragment});
  const Flood flood = GENERATE_REF(from_range(floods));
  CAPTURE(flood.name);
  FloodedSite site(31'500);
  site.CheckSurvives("entry-0", site.LinkAddress(0), flood);
}

}  // namespace
}  // namespace geranium::process
