#ifndef GERANIUM_TESTS_STEP_WORLD_FIXTURE_H_
#define GERANIUM_TESTS_STEP_WORLD_FIXTURE_H_

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "step_simulator.h"

namespace geranium::standins {

/// What a mean day is to be worth on the users' grown sites; the smaller one.
inline constexpr double kTargetWorth = 0.69;
/// Load of an ordinary day, against the users' ordinary rates.
inline constexpr double kOrdinary = 0.7;

class StepWorldTest {
 protected:
  static StepSimulatorOptions Options(double factor, std::uint64_t seed = 1) {
    StepSimulatorOptions options;
    options.seed = seed;
    options.load = ReferenceLoad(factor);
    return options;
  }

  static StepSimulatorOptions WithoutLoad(std::uint64_t seed = 1) {
    StepSimulatorOptions options;
    options.seed = seed;
    options.load = ReferenceLoad(0);
    return options;
  }

  static LoadClass Long() {
    LoadClass kind = ReferenceLoad(0)[1];
    kind.sigma = 0;
    return kind;
  }

  /// Some long jobs at every entry, once the processes are linked.
  static std::vector<int> SubmitLongJobs(StepSimulator& world) {
    world.Run(TimePoint(1600));
    std::vector<int> jobs;
    for (int i = 0; i < 12; ++i) jobs.push_back(world.Submit(i % 4, Long()));
    return jobs;
  }

  static void CheckCompleted(const StepSimulator& world,
                             const std::vector<int>& jobs) {
    CHECK(world.UnansweredJobs() == std::vector<std::string>());
    for (const int job : jobs) CHECK(world.IsCompleted(job));
    CheckPromises(world);
  }

  static void CheckPromises(const StepSimulator& world) {
    for (const std::string& line : world.recent_log) UNSCOPED_INFO(line);
    for (const std::string& violation : world.violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(world.violations().empty());
  }

  static int Asked(const StepSimulator& world) {
    int asked = 0;
    for (const auto& [name, report] : world.Report()) asked += report.submitted;
    return asked;
  }
};

}  // namespace geranium::standins

#endif  // GERANIUM_TESTS_STEP_WORLD_FIXTURE_H_
