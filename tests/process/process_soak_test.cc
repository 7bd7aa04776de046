#include "soak/process_soak.h"

#include <catch2/catch.hpp>

namespace geranium::process {
namespace {

void CheckSeed(std::uint64_t seed, int port, bool is_planned) {
  soak::ProcessSoakOptions options;
  options.seed = seed;
  options.port = port;
  options.is_planned = is_planned;
  options.length = Duration(4000);
  const soak::ProcessSoakReport report = soak::RunProcessSoak(options);
  CAPTURE(seed);
  for (const std::string& event : report.events) UNSCOPED_INFO(event);
  CHECK(report.violations == std::vector<std::string>());
  CHECK(report.completed > 0);
}

TEST_CASE("Process soak with random faults the promises hold") {
  CheckSeed(1, 28'300, false);
}

TEST_CASE("Process soak with planned work only nothing is cut off") {
  CheckSeed(3, 28'600, true);
}

}  // namespace
}  // namespace geranium::process
