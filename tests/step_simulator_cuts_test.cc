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

  /// Cuts the entry from all others and from all agents.
  static void Isolate(StepSimulator& simulator,
                      const StepSimulatorOptions& options, int entry,
                      Duration span) {
    for (int node = 0; node < options.entries + options.workers; ++node) {
      if (node != entry) simulator.PartitionNodes(entry, node, span);
    }
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

// Guards against an entry that was cut off, and orders the tasks of jobs that
// others have taken over as soon as it is linked to agents again (review/12).
TEST_CASE_METHOD(CutsTest,
                 "StepSimulator with an entry cut from all processes and "
                 "copies of its jobs sent to others, no task runs twice") {
  StepSimulatorOptions options = Options();
  SECTION("at a site of four entries") {}
  SECTION("at a site of ten entries") {
    options.entries = 10;
    options.workers = 24;
  }
  StepSimulator simulator(options);
  simulator.Run(kBegin);
  const std::vector<int> jobs = SubmitWithCopies(simulator, options, 3);
  simulator.At(kBegin + Duration(1000), [&] {
    Isolate(simulator, options, 3, kCut);
    // Agents are linked again sooner than entries.
    simulator.SplitEntries({3}, kCut + Duration(300));
  });
  simulator.Run(kEnd);
  CheckNoViolations(simulator);
}

// Guards against an entry that starts a copy which it received while it was cut
// off, before it has heard from the entry that runs the job.
TEST_CASE_METHOD(CutsTest,
                 "StepSimulator with a copy sent to an entry cut from all "
                 "processes, no task of the job runs twice") {
  const StepSimulatorOptions options = Options();
  StepSimulator simulator(options);
  simulator.Run(kBegin);
  simulator.At(kBegin, [&] {
    Isolate(simulator, options, 3, kCut);
    simulator.SplitEntries({3}, kCut + Duration(300));
  });
  simulator.Run(kBegin + Duration(3000));
  const int job = simulator.Submit(0, LastingJob());
  simulator.At(kBegin + Duration(4000), [&] { simulator.SendCopy(job, 3); });
  simulator.Run(kEnd);
  CheckCompleted(simulator, {job});
}

// Guards against an entry that takes its own isolation for the end of all other
// processes (review/12).
TEST_CASE_METHOD(CutsTest,
                 "StepSimulator with the only entry cut from all agents, its "
                 "jobs complete after the cut") {
  StepSimulatorOptions options = Options();
  options.entries = 1;
  StepSimulator simulator(options);
  simulator.Run(kBegin);
  const int job = simulator.Submit(0, LastingJob());
  simulator.At(kBegin + Duration(1000),
               [&] { Isolate(simulator, options, 0, kCut); });
  simulator.Run(kEnd);
  CheckCompleted(simulator, {job});
}

}  // namespace
}  // namespace geranium::standins
