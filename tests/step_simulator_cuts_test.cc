#include <algorithm>

#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

class CutsTest : public StepSimulatorTest {
 protected:
  static constexpr TimePoint kBegin{6000};
  static constexpr Duration kCut{5500};
  /// When the copies of the requests are sent.
  static constexpr TimePoint kCopies{8500};
  static constexpr TimePoint kEnd{30'000};

  static StepSimulatorOptions Options() {
    StepSimulatorOptions options = OptionsWithoutLoad();
    options.caller_timeout = Duration(25'000);
    return options;
  }

  static LoadClass LastingJob() {
    LoadClass load_class = LongJob();
    load_class.mean_work = Duration(5000);
    return load_class;
  }

  /// Submits a job to the entry for each other one, and sends that one a copy.
  static std::vector<int> SubmitWithCopies(StepSimulator& simulator,
                                           const StepSimulatorOptions& options,
                                           int holder) {
    std::vector<int> jobs;
    for (int other = 0; other < options.entries; ++other) {
      if (other == holder) continue;
      const int job = simulator.Submit(holder, LastingJob());
      jobs.push_back(job);
      simulator.At(kCopies, [&simulator, job, other] {
        simulator.SendCopy(job, other);
      });
    }
    return jobs;
  }
};

// Guards against an entry that takes another one for lost though agents hear
// it, and starts the tasks of its jobs beside their runs (review/11).
TEST_CASE_METHOD(CutsTest,
                 "StepSimulator with an entry cut from entries alone and "
                 "copies of its jobs sent to others, no task runs twice") {
  StepSimulatorOptions options = Options();
  SECTION("each agent is linked to all entries") {}
  SECTION("each agent is linked to four of ten entries") {
    options.entries = 10;
    options.workers = 24;
  }
  StepSimulator simulator(options);
  simulator.Run(kBegin);
  const std::vector<int> jobs = SubmitWithCopies(simulator, options, 0);
  simulator.At(kBegin + Duration(1000),
               [&] { simulator.SplitEntries({0}, kCut); });
  simulator.Run(kEnd);
  CheckNoViolations(simulator);
  CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
}

}  // namespace
}  // namespace geranium::standins
