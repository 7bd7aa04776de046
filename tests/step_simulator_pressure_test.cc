#include <catch2/catch.hpp>

#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

/// The decisions under load that are off by default, on.
class PressureTest : public StepSimulatorTest {
 protected:
  static StepSimulatorOptions WithPolicies(StepSimulatorOptions options) {
    options.scheduler.queue_order = QueueOrder::kLatestStart;
    options.scheduler.refuse_late = true;
    options.scheduler.placement.by_speed = true;
    options.scheduler.placement.locality_wait.wait_percent = 100;
    options.capacity_hold = Duration(20);
    return options;
  }

  struct Outcome {
    double large = 0;  ///< Share of the large jobs that met their objective.
    double utility = 0;
    double refused_wait_ms = 0;  ///< Mean over refused jobs.
  };

  /// 1.43 times the load of an ordinary day, with a burst of large jobs.
  static Outcome RunBurst(StepSimulatorOptions options) {
    constexpr int kSeeds = 8;
    Outcome outcome;
    double waited = 0;
    int refused = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      options.seed = static_cast<std::uint64_t>(seed);
      StepSimulator simulator(options);
      simulator.Run(TimePoint(9600));
      simulator.Run(TimePoint(13'000), false);
      CheckNoViolations(simulator);
      for (const auto& [name, report] : simulator.Report()) {
        waited += report.refused_wait_ms;
        refused += report.refused;
        if (name == "booking") {
          outcome.large += report.ShareWithinObjective() / kSeeds;
        }
      }
      outcome.utility += simulator.Utility() / kSeeds;
    }
    outcome.refused_wait_ms = refused == 0 ? 0 : waited / refused;
    return outcome;
  }

  static StepSimulatorOptions Burst() {
    StepSimulatorOptions options = Options(1.43);
    options.load[1].jobs_per_second *= 1.5;
    return options;
  }
};

// Guards against large jobs that starve under a load above the capacity, and
// against callers that are kept waiting for a refusal.
TEST_CASE_METHOD(PressureTest,
                 "StepSimulator under a burst of large jobs, these are served "
                 "more often and refusals come sooner than by priority alone") {
  const Outcome by_priority = RunBurst(Burst());
  const Outcome outcome = RunBurst(WithPolicies(Burst()));
  CAPTURE(outcome.large, by_priority.large, outcome.utility,
          by_priority.utility, outcome.refused_wait_ms,
          by_priority.refused_wait_ms);
  CHECK(outcome.large > by_priority.large);
  CHECK(outcome.refused_wait_ms < by_priority.refused_wait_ms);
  CHECK(outcome.utility > kTargetUtility);
}

// Guards against cores that stay held, or jobs that stay waiting, for an entry
// or a worker that has failed.
TEST_CASE_METHOD(PressureTest,
                 "StepSimulator with entries and agents failing under load, "
                 "the policies leave no job unanswered") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    StepSimulatorOptions options = WithPolicies(Burst());
    options.seed = seed;
    for (LoadClass& kind : options.load) kind.rack_share = 0.5;
    StepSimulator simulator(options);
    const auto delay = static_cast<std::int64_t>(70 * seed);
    simulator.At(TimePoint(3000 + delay),
                 [&] { simulator.FreezeEntry(0, Duration(600)); });
    simulator.At(TimePoint(4000 + delay),
                 [&] { simulator.KillEntry(1, Duration(900)); });
    simulator.At(TimePoint(4500 + delay),
                 [&] { simulator.KillAgent(2, Duration(500)); });
    simulator.At(TimePoint(5000 + delay),
                 [&] { simulator.RestartWorker(3, Duration(800)); });
    simulator.At(TimePoint(5500 + delay),
                 [&] { simulator.PartitionAgent(4, Duration(700)); });
    simulator.Run(TimePoint(9000));
    simulator.Run(TimePoint(20'000), false);
    CAPTURE(seed);
    CheckNoViolations(simulator);
    CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
  }
}

}  // namespace
}  // namespace geranium::standins
