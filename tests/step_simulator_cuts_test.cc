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

class EvacuationTest : public CutsTest {
 protected:
  static constexpr Duration kMaxEvacuationTime{5000};
  static constexpr Duration kLongCut{12'000};
  static constexpr TimePoint kEvacuated{8000};
  inline static const std::string kDataCentre = "dc-0";

  static StepSimulatorOptions Options() {
    StepSimulatorOptions options = OptionsWithoutLoad();
    options.load = ReferenceLoad(kOrdinaryLoadFactor);
    return options;
  }

  /// Starts so far at the workers of the data centre.
  static std::uint64_t CountStarts(const StepSimulator& simulator,
                                   const StepSimulatorOptions& options) {
    std::uint64_t starts = 0;
    for (int i = 0; i < options.workers; i += options.entries) {
      starts += simulator.session(i).counters().starts;
    }
    return starts;
  }
};

// Guards against agents that start the tasks of an entry which is cut off from
// the store and other entries, and has not heard that their data centre is out
// of service (review/6).
TEST_CASE_METHOD(EvacuationTest,
                 "StepSimulator with a data centre out and an entry cut off "
                 "that does not know, no task starts there after the limit") {
  const StepSimulatorOptions options = Options();
  StepSimulator simulator(options);
  simulator.At(kEvacuated - Duration(200), [&] {
    simulator.CutFromStore(0, kLongCut);
    simulator.SplitEntries({0}, kLongCut);
  });
  simulator.At(kEvacuated,
               [&] { simulator.SetOutOfService(kDataCentre, true); });
  SECTION("all processes go on") {}
  SECTION("the other entries and the agents restart one after the other") {
    for (int i = 1; i < options.entries; ++i) {
      simulator.At(kEvacuated + Duration(900) * i,
                   [&, i] { simulator.KillEntry(i, Duration(300)); });
    }
    for (int i = 0; i < options.workers; ++i) {
      simulator.At(kEvacuated + Duration(4000) + Duration(300) * i,
                   [&, i] { simulator.KillAgent(i, Duration(200)); });
    }
  }
  simulator.Run(kEvacuated + kMaxEvacuationTime);
  const std::uint64_t before = CountStarts(simulator, options);
  CHECK(before > 0);
  std::vector<std::uint64_t> later;
  for (TimePoint at = simulator.now(); at < kEvacuated + Duration(11'000);
       at = at + Duration(50)) {
    simulator.Run(at);
    later.push_back(CountStarts(simulator, options));
  }
  // The counts of an agent begin anew when it restarts.
  CHECK(*std::max_element(later.begin(), later.end()) <= before);
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(EvacuationTest,
                 "StepSimulator with a data centre back in service, an entry "
                 "that was cut off meanwhile orders there again") {
  const StepSimulatorOptions options = Options();
  StepSimulator simulator(options);
  simulator.At(kEvacuated - Duration(200), [&] {
    simulator.CutFromStore(0, kLongCut);
    simulator.SplitEntries({0}, kLongCut);
  });
  simulator.At(kEvacuated,
               [&] { simulator.SetOutOfService(kDataCentre, true); });
  simulator.At(kEvacuated + Duration(4000),
               [&] { simulator.SetOutOfService(kDataCentre, false); });
  simulator.Run(kEvacuated + Duration(4500));
  const std::uint64_t before = CountStarts(simulator, options);
  simulator.Run(kEvacuated + Duration(8000));
  CHECK(CountStarts(simulator, options) > before);
  CHECK(simulator.entry(0).scheduler().accepting_workers(simulator.now()) ==
        static_cast<std::size_t>(options.workers));
  CheckNoViolations(simulator);
}

}  // namespace
}  // namespace geranium::standins
