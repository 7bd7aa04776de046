#include "soak/process_soak.h"

#include <catch2/catch.hpp>

namespace geranium::process {
namespace {

/// Keeps CI short.
constexpr Duration kShort{4000};

void CheckSeed(std::uint64_t seed, int port, bool is_maintenance_only,
               Duration length = kShort) {
  soak::ProcessSoakOptions options;
  options.seed = seed;
  options.port = port;
  options.is_maintenance_only = is_maintenance_only;
  options.length = length;
  const soak::ProcessSoakReport report = soak::RunProcessSoak(options);
  CAPTURE(seed);
  for (const std::string& event : report.events) UNSCOPED_INFO(event);
  CHECK(report.violations == std::vector<std::string>());
  CHECK(report.completed > 0);
}

TEST_CASE("Process soak with random faults no invariant is violated") {
  CheckSeed(1, 28'300, false);
}

TEST_CASE("Process soak with maintenance only no request is interrupted") {
  CheckSeed(3, 28'600, true);
}

// Seeds that have failed, each with the cause.

// A task ran at two entries: a caller of the soak resubmitted its job at once
// when a kept-alive connection broke, instead of after 1.3 s.
TEST_CASE(
    "Process soak seed 2, entry killed with connections open: no violation") {
  CheckSeed(2, 29'200, false, soak::ProcessSoakOptions().length);
}

// Requests were cut off by a leaving entry that was not scheduled for a while
// when its time to end came.
TEST_CASE(
    "Process soak seed 807, entry terminated under load: no request is "
    "interrupted") {
  CheckSeed(807, 30'000, true, soak::ProcessSoakOptions().length);
}

}  // namespace
}  // namespace geranium::process
