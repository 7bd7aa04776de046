#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

static_assert(WorkerSession::kLongestEntrySilence +
                  WorkerSession::kLeaseDuration * 2 / 100 <
              StepScheduler::kWorkerLostTimeout -
                  StepEntryNode::kPeerHeartbeatInterval);

// Guards against runs that outlive their entry, since the worker refuses to
// stop them and its lease is renewed.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with an entry killed while workers refuse "
                 "stops, no task of its jobs runs twice at a time") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    StepSimulator simulator(OptionsWithoutLoad(seed));
    simulator.Run(TimePoint(1600));
    LoadClass load_class = LongJob();
    load_class.mean_work = Duration(4000);
    for (int i = 0; i < 12; ++i) simulator.Submit(0, load_class);
    const auto age = static_cast<std::int64_t>(40 * seed);
    simulator.At(TimePoint(1900 + age), [&simulator] {
      for (int i = 0; i < 4; ++i) simulator.faults(i).unhealthy = 1;
      simulator.KillEntry(0, Duration(3500));
    });
    simulator.At(TimePoint(7400), [&simulator] {
      for (int i = 0; i < 4; ++i) simulator.faults(i).unhealthy = 0;
    });
    simulator.Run(TimePoint(12'000));
    CAPTURE(seed);
    CheckNoViolations(simulator);
  }
}

// Guards against the answer to a copy of an order taken as proof that no other
// copy of it runs, which started tasks twice and filled workers beyond their
// capacity.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with workers that reset connections and reject "
                 "the orders sent again, no task runs twice at a time") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    StepSimulator simulator(Options(kOrdinaryLoadFactor, seed));
    for (const int worker : {0, 4, 8}) {
      simulator.At(TimePoint(1700), [&simulator, worker] {
        simulator.faults(worker).resets = 0.2;
        simulator.faults(worker).unhealthy = 0.2;
      });
    }
    simulator.Run(TimePoint(5000));
    simulator.Run(TimePoint(17'000), false);
    CAPTURE(seed);
    CheckNoViolations(simulator);
  }
}

// All entries and agents lose power; the agents return one after the other.
// The backlog until workers are linked must not be mistaken for overload.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with all processes restarted under load, no "
                 "job is refused immediately while workers link again") {
  StepSimulatorOptions options = Options(1);
  StepSimulator simulator(options);
  simulator.At(TimePoint(3000), [&] {
    for (int i = 0; i < options.entries; ++i) {
      simulator.KillEntry(i, Duration(500));
    }
    for (int i = 0; i < options.workers; ++i) {
      simulator.KillAgent(i, Duration(550 + 60 * i));
    }
  });
  simulator.Run(TimePoint(6000));
  simulator.Run(TimePoint(12'000), false);
  for (const auto& [name, report] : simulator.Report()) {
    CAPTURE(name, report.submitted, report.late, report.refused);
    CHECK(report.refused_immediately == 0);
  }
  CheckNoViolations(simulator);
  CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
}

struct LoadResult {
  int refused = 0;
  int completed = 0;
  double utility = 0;
};

/// Runs the same load per seed, whatever the options of the scheduler.
LoadResult RunLoad(StepSimulatorOptions options, int seeds) {
  LoadResult result;
  for (int seed = 1; seed <= seeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    StepSimulator simulator(options);
    simulator.Run(TimePoint(9600));
    simulator.Run(TimePoint(13'000), false);
    CHECK(simulator.violations().empty());
    for (const auto& [name, report] : simulator.Report()) {
      result.refused += report.refused;
      result.completed += report.within_objective + report.late;
    }
    result.utility += simulator.Utility() / seeds;
  }
  return result;
}

// Callers do not retry: a late answer has utility 0.2, a refusal none.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator at 1.43 times the load, few jobs are refused "
                 "that could still be served late") {
  constexpr int kSeeds = 16;
  StepSimulatorOptions options = Options(1.43);
  const LoadResult result = RunLoad(options, kSeeds);
  // Jobs that cannot be served in time are refused at once.
  options.scheduler.admission.late_percent = 0;
  const LoadResult in_time_only = RunLoad(options, kSeeds);
  CAPTURE(result.refused, in_time_only.refused);
  CHECK(3 * result.refused < 2 * in_time_only.refused);
  CHECK(result.completed > in_time_only.completed);
  CHECK(result.utility > kTargetUtility);
}

// Entries that see the same free capacity send orders for it at the same time,
// and tasks that do not fit wait at that worker while others are free.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator at 1.9 times the load, colliding orders do not "
                 "wait and utility reaches the target") {
  CHECK(RunLoad(Options(1.9), 8).utility > kTargetUtility);
}

/// Schedules fourteen faults drawn from the seed.
void ScheduleRandomFaults(StepSimulator& simulator,
                          const StepSimulatorOptions& options) {
  Random random(options.seed * 977);
  for (int i = 0; i < 14; ++i) {
    const TimePoint when(1700 + static_cast<std::int64_t>(random.Below(5000)));
    const int worker = static_cast<int>(
        random.Below(static_cast<std::size_t>(options.workers)));
    const int entry = static_cast<int>(
        random.Below(static_cast<std::size_t>(options.entries)));
    const Duration duration(20 + static_cast<std::int64_t>(random.Below(3000)));
    const std::size_t kind = random.Below(9);
    const int entries = options.entries;
    simulator.At(when, [&simulator, worker, entry, duration, kind, entries] {
      switch (kind) {
        case 0:
          return simulator.KillAgent(worker, duration);
        case 1:
          return simulator.FreezeAgent(worker, duration);
        case 2:
          return simulator.RestartWorker(worker, duration);
        case 3:
          return simulator.KillEntry(entry, duration);
        case 4:
          return simulator.FreezeEntry(entry, duration);
        case 5:
          return simulator.PartitionAgent(worker, duration);
        case 6:
          return simulator.PartitionNodes(entry, (entry + 1) % entries,
                                          duration);
        case 7:
          simulator.faults(worker).unanswered = 0.1;
          return;
        default:
          return simulator.PartitionNodes(entry, entries + worker, duration);
      }
    });
  }
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a series of random faults, no invariant "
                 "is violated and every job is answered") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const StepSimulatorOptions options = Options(kOrdinaryLoadFactor, seed);
    StepSimulator simulator(options);
    ScheduleRandomFaults(simulator, options);
    simulator.Run(TimePoint(8000));
    simulator.Run(TimePoint(20'000), false);
    CAPTURE(seed);
    CheckNoViolations(simulator);
    CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
  }
}

TEST_CASE_METHOD(
    StepSimulatorTest,
    "StepSimulator with random faults and more entries than links, no "
    "invariant is violated and the number of links recovers") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    StepSimulatorOptions options = Options(2 * kOrdinaryLoadFactor, seed);
    options.entries = 9;
    options.workers = 22;
    StepSimulator simulator(options);
    ScheduleRandomFaults(simulator, options);
    simulator.Run(TimePoint(8000));
    simulator.Run(TimePoint(20'000), false);
    CAPTURE(seed);
    CheckNoViolations(simulator);
    CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
    for (int i = 0; i < options.workers; ++i) {
      CAPTURE(i);
      CHECK(simulator.session(i).linked_entries() == options.entry_links);
    }
  }
}

// Half of the agents are slow to stop the runs that the first entry ordered.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with callers reset and resubmitting elsewhere "
                 "at once, no task runs twice at a time") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    StepSimulatorOptions options = OptionsWithoutLoad(seed);
    options.resend_delay = Duration(0);
    options.caller_delay = Duration(1);
    StepSimulator simulator(options);
    simulator.Run(TimePoint(1600));
    // The entry announces this job at once, the following ones a while later.
    std::vector<int> jobs{simulator.Submit(0, LongJob())};
    simulator.Run(TimePoint(1615));
    for (int i = 0; i < 12; ++i) jobs.push_back(simulator.Submit(0, LongJob()));
    const auto age = static_cast<std::int64_t>(15 * seed);
    simulator.At(TimePoint(1615 + age), [&simulator] {
      for (int i = 0; i < 6; ++i) simulator.FreezeAgent(i, Duration(60));
      simulator.ResetCallers(0);
    });
    simulator.Run(TimePoint(6000));
    CAPTURE(seed);
    CheckCompleted(simulator, jobs);
  }
}

// Estimates are rough: a job may take far longer than estimated.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with an entry that leaves, every job it "
                 "accepted is answered within its grace period") {
  constexpr Duration kGrace{5700};
  const TimePoint begin(1600);
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    StepSimulatorOptions options = OptionsWithoutLoad(seed);
    StepSimulator simulator(options);
    LoadClass load_class = LongJob();
    load_class.sigma = options.load[1].sigma;
    simulator.Run(begin);
    simulator.LeaveEntry(0, kGrace);
    for (Duration after(0); after < kGrace; after = after + Duration(60)) {
      simulator.At(begin + after, [&simulator, load_class] {
        simulator.Submit(0, load_class);
      });
    }
    simulator.Run(begin + kGrace);
    CAPTURE(seed);
    CHECK(simulator.entry(0).scheduler().open_jobs() == 0);
    CheckNoViolations(simulator);
  }
}

// With every agent linked to all 14 entries, utility was 0.93: entries that see
// the same free capacity send orders for it at the same time.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with many entries at 1.3 times the load, few "
                 "links to each worker keep orders from colliding") {
  StepSimulatorOptions options = Options(8);
  options.entries = 14;
  options.workers = 76;
  StepSimulator simulator(options);
  simulator.Run(TimePoint(5000));
  simulator.Run(TimePoint(9000), false);
  CHECK(simulator.Utility() > 0.97);
  CheckNoViolations(simulator);
}

// The entries are down in turn, so that their agents release links over which
// orders arrive.
TEST_CASE_METHOD(
    StepSimulatorTest,
    "StepSimulator with links released under load, no work is lost") {
  StepSimulatorOptions options = Options(2 * kOrdinaryLoadFactor);
  options.entries = 9;
  options.workers = 22;
  StepSimulator simulator(options);
  for (int i = 0; i < 3; ++i) {
    simulator.At(TimePoint(2000 + 3000 * i),
                 [&simulator, i] { simulator.KillEntry(i, Duration(1800)); });
  }
  simulator.Run(TimePoint(12'000));
  simulator.Run(TimePoint(18'000), false);
  CHECK(simulator.CountLogMessages("entry_released") > 0);
  // Runs ordered over a released link are not lost with it.
  CHECK(simulator.CountLogMessages("worker_lost") == 0);
  CHECK(simulator.Utility() > 0.9);
  CheckNoViolations(simulator);
  CHECK(simulator.UnansweredJobs() == std::vector<std::string>());
}

// Guards against jobs that wait for the loss of entries that stand still, at
// one that has just stood still itself.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with half the entries frozen and another half "
                 "as they go on, callers of those awake are served in time") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    StepSimulatorOptions options = OptionsWithoutLoad(seed);
    options.entries = 8;
    options.workers = 20;
    options.caller_timeout = Duration(1500);
    StepSimulator simulator(options);
    simulator.Run(TimePoint(5000));
    for (int i = 0; i < 4; ++i) simulator.FreezeEntry(i, Duration(1400));
    simulator.Run(TimePoint(6300));
    for (int i = 2; i < 6; ++i) simulator.FreezeEntry(i, Duration(2200));
    simulator.Run(TimePoint(6460));
    for (int i = 0; i < 40; ++i) {
      const int entry = i % 4 < 2 ? i % 4 : i % 4 + 4;  // Those awake.
      simulator.Submit(entry, OptionsWithoutLoad().load[0]);
      simulator.Run(simulator.now() + Duration(25));
    }
    simulator.Run(TimePoint(9500));
    CAPTURE(seed);
    CHECK(simulator.Report().at("lookup").within_objective == 40);
    CheckNoViolations(simulator);
  }
}

}  // namespace
}  // namespace geranium::standins
