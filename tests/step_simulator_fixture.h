#ifndef GERANIUM_TESTS_STEP_SIMULATOR_FIXTURE_H_
#define GERANIUM_TESTS_STEP_SIMULATOR_FIXTURE_H_

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "step_simulator.h"

namespace geranium::standins {

/// Required utility of a mean day on the users' grown sites; the smaller one.
inline constexpr double kTargetUtility = 0.69;
/// Load of an ordinary day, relative to the users' ordinary rates.
inline constexpr double kOrdinaryLoadFactor = 0.7;

class StepSimulatorTest {
 protected:
  static StepSimulatorOptions Options(double factor, std::uint64_t seed = 1) {
    StepSimulatorOptions options = OptionsWithoutLoad(seed);
    options.load = ReferenceLoad(factor);
    return options;
  }

  static StepSimulatorOptions OptionsWithoutLoad(std::uint64_t seed = 1) {
    StepSimulatorOptions options;
    if (std::getenv("CLAIMS") != nullptr) {
      options.uses_claims = std::stoi(std::getenv("CLAIMS")) > 0;
      options.registrar_agents = std::stoi(std::getenv("CLAIMS")) == 2 ? 3 : 0;
    }
    options.seed = seed;
    options.load = ReferenceLoad(0);
    return options;
  }

  static LoadClass LongJob() {
    LoadClass load_class = ReferenceLoad(0)[1];
    load_class.sigma = 0;
    return load_class;
  }

  /// Submits 12 long jobs to four entries once the processes are linked.
  static std::vector<int> SubmitLongJobs(StepSimulator& simulator) {
    simulator.Run(TimePoint(1600));
    std::vector<int> jobs;
    for (int i = 0; i < 12; ++i)
      jobs.push_back(simulator.Submit(i % 4, LongJob()));
    return jobs;
  }

  static void CheckCompleted(const StepSimulator& simulator,
                             const std::vector<int>& jobs) {
    CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
    for (const int job : jobs) CHECK(simulator.IsCompleted(job));
    CheckNoViolations(simulator);
  }

  static void CheckNoViolations(const StepSimulator& simulator) {
    for (const std::string& line : simulator.recent_log) UNSCOPED_INFO(line);
    for (const std::string& violation : simulator.violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(simulator.violations().empty());
  }

  static int CountSubmitted(const StepSimulator& simulator) {
    int submitted = 0;
    for (const auto& [name, report] : simulator.Report())
      submitted += report.submitted;
    return submitted;
  }
};

}  // namespace geranium::standins

#endif  // GERANIUM_TESTS_STEP_SIMULATOR_FIXTURE_H_
