#include "entry/urgent_reserve.h"

#include <catch2/catch.hpp>

#include "step_simulator_fixture.h"

namespace geranium {
namespace {

/// Admits `core_ms` each 10 ms for `span`; returns the time after that.
TimePoint Admit(UrgentReserve& reserve, double core_ms, Duration span) {
  TimePoint now(1000);
  for (const TimePoint end = now + span; now < end; now = now + Duration(10)) {
    reserve.OnAdmitted(core_ms, now);
  }
  return now;
}

TEST_CASE("UrgentReserve without urgent work keeps nothing free") {
  const UrgentReserve reserve(1);
  CHECK(reserve.Fraction(100, TimePoint(5000)) == 0);
}

TEST_CASE("UrgentReserve with steady urgent work keeps about its share free") {
  UrgentReserve reserve(1);
  const TimePoint now = Admit(reserve, 200, Duration(20'000));
  // 200 core-milliseconds in each 10 ms are 20 cores of 100.
  CHECK(reserve.Fraction(100, now) == Approx(0.2).margin(0.01));
}

TEST_CASE("UrgentReserve after urgent work has ceased gives the room back") {
  UrgentReserve reserve(1);
  const TimePoint now = Admit(reserve, 200, Duration(20'000));
  CHECK(reserve.Fraction(100, now + Duration(10'000)) < 0.01);
}

TEST_CASE("UrgentReserve under any load leaves most of a worker to others") {
  UrgentReserve reserve(1);
  const TimePoint now = Admit(reserve, 5000, Duration(20'000));
  CHECK(reserve.Fraction(100, now) <= 0.4);
  CHECK(reserve.Fraction(0, now) == 0);
}

}  // namespace

namespace standins {
namespace {

// The heaviest days of a site whose workers run four tasks at a time: urgent
// jobs need eight places at once and found none.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with tasks of a quarter worker and more load "
                 "than cores, wide urgent jobs are served before others") {
  double urgent = 0;
  double utility = 0;
  constexpr int kSeeds = 4;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    StepSimulatorOptions options = Options(1, seed);
    options.load = LargeTaskLoad(1.43);
    options.entries = 8;
    options.workers = 30;
    options.workers_per_rack = 10;
    options.worker_capacity.cpu = 32;
    StepSimulator simulator(options);
    simulator.Run(TimePoint(5600));
    simulator.Run(TimePoint(12'000), false);
    urgent += simulator.Report().at("lookup").Utility() / kSeeds;
    utility += simulator.Utility() / kSeeds;
    CheckNoViolations(simulator);
  }
  CHECK(utility >= kTargetUtility);
  CHECK(urgent >= kTargetUtility);
}

}  // namespace
}  // namespace standins
}  // namespace geranium
