#include <catch2/catch.hpp>
#include <numeric>

#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator under ordinary load, nearly all jobs of each "
                 "class meet their objective") {
  StepSimulator simulator(Options(kOrdinaryLoadFactor));
  simulator.Run(TimePoint(11'000));
  simulator.Run(TimePoint(17'000), false);
  CHECK(CountSubmitted(simulator) > 500);
  for (const auto& [name, report] : simulator.Report()) {
    CAPTURE(name, report.submitted, report.late, report.refused, report.failed);
    CHECK(report.ShareWithinObjective() > 0.99);
  }
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator under a burst with lost answers and faulty "
                 "workers, utility reaches the target") {
  StepSimulator simulator(Options(1.1 * 1.3));
  for (int i = 0; i < 11; ++i) simulator.faults(i).unanswered = 0.064;
  simulator.At(TimePoint(4000), [&] { simulator.faults(2).slowdown = 5.1; });
  simulator.At(TimePoint(6000), [&] { simulator.faults(7).hangs = true; });
  simulator.Run(TimePoint(9000));
  simulator.Run(TimePoint(16'000), false);
  for (const auto& [name, report] : simulator.Report()) {
    CAPTURE(name, report.submitted, report.within_objective, report.late,
            report.too_late, report.refused, report.failed);
    WARN(name << " submitted " << report.submitted << " in objective "
              << report.within_objective << " late " << report.late
              << " too late " << report.too_late << " refused "
              << report.refused << " failed " << report.failed << " unanswered "
              << report.unanswered);
  }
  CHECK(simulator.Utility() >= kTargetUtility);
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator under a burst of jobs with rack-local data, "
                 "utility reaches the target") {
  StepSimulatorOptions options = Options(1.1 * 1.3);
  for (LoadClass& load_class : options.load) load_class.rack_share = 1;
  StepSimulator simulator(options);
  simulator.Run(TimePoint(7600));
  simulator.Run(TimePoint(14'000), false);
  for (const auto& [name, report] : simulator.Report()) {
    UNSCOPED_INFO(name << " utility " << report.Utility());
  }
  CHECK(simulator.Utility() >= kTargetUtility);
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with most jobs preferring one rack, the others "
                 "help and utility reaches the target") {
  StepSimulatorOptions options = Options(1.2);
  for (LoadClass& load_class : options.load) {
    load_class.rack_share = 0.6;
    load_class.same_rack = true;
  }
  StepSimulator simulator(options);
  simulator.Run(TimePoint(7600));
  simulator.Run(TimePoint(14'000), false);
  for (const auto& [name, report] : simulator.Report()) {
    UNSCOPED_INFO(name << " utility " << report.Utility());
  }
  CHECK(simulator.Utility() >= kTargetUtility);
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with the preferred rack down, its jobs run "
                 "elsewhere and utility reaches the target") {
  StepSimulatorOptions options = Options(kOrdinaryLoadFactor);
  for (LoadClass& load_class : options.load) {
    load_class.rack_share = 0.6;
    load_class.same_rack = true;
  }
  StepSimulator simulator(options);
  simulator.At(TimePoint(1500), [&] {
    for (int i = 0; i < 3; ++i) simulator.RestartWorker(i, Duration(60'000));
  });
  simulator.Run(TimePoint(7600));
  simulator.Run(TimePoint(14'000), false);
  CHECK(simulator.Utility() >= kTargetUtility);
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with agents killed while tasks run, the tasks "
                 "run again once the old runs have ended") {
  StepSimulator simulator(OptionsWithoutLoad());
  const std::vector<int> jobs = SubmitLongJobs(simulator);
  simulator.At(TimePoint(1900), [&] {
    for (int i = 0; i < 4; ++i) simulator.KillAgent(i, Duration(100 + 300 * i));
  });
  simulator.Run(TimePoint(9000));
  CheckCompleted(simulator, jobs);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with an entry killed and its jobs resubmitted, "
                 "each job completes without concurrent runs") {
  StepSimulator simulator(OptionsWithoutLoad());
  simulator.Run(TimePoint(1600));
  std::vector<int> jobs;
  for (int i = 0; i < 8; ++i) jobs.push_back(simulator.Submit(1, LongJob()));
  simulator.At(TimePoint(2100), [&] { simulator.KillEntry(1, Duration(700)); });
  simulator.Run(TimePoint(9000));
  CheckCompleted(simulator, jobs);
}

TEST_CASE_METHOD(
    StepSimulatorTest,
    "StepSimulator with a job resubmitted while its first entry runs it, the "
    "first relinquishes it before the second starts it") {
  StepSimulator simulator(OptionsWithoutLoad());
  simulator.Run(TimePoint(1600));
  const int job = simulator.Submit(0, LongJob());
  const int frozen = simulator.Submit(3, LongJob());
  simulator.At(TimePoint(1900), [&] {
    simulator.Resubmit(job, 2);
    simulator.FreezeEntry(3, Duration(3500));
    simulator.Resubmit(frozen, 1);
  });
  simulator.Run(TimePoint(9000));
  CHECK(simulator.IsCompleted(job));
  CHECK(simulator.IsCompleted(frozen));
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a handover request lost between entries, "
                 "it is sent again") {
  StepSimulator simulator(OptionsWithoutLoad());
  simulator.Run(TimePoint(1600));
  const int job = simulator.Submit(0, LongJob());
  simulator.At(TimePoint(1900), [&] {
    simulator.Resubmit(job, 2);
    simulator.ResetEntryLinks(0);
  });
  // Well before the first entry could be taken for lost by its silence.
  simulator.At(TimePoint(1905), [&] { simulator.ResetEntryLinks(0); });
  simulator.Run(TimePoint(5200));
  CHECK(simulator.IsCompleted(job));
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with starts carried out seconds late, no task "
                 "runs twice at a time") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    StepSimulator simulator(Options(kOrdinaryLoadFactor, seed));
    for (int i = 0; i < 11; ++i) simulator.faults(i).unanswered = 0.2;
    simulator.Run(TimePoint(6000));
    simulator.Run(TimePoint(20'000), false);
    CAPTURE(seed);
    CheckNoViolations(simulator);
  }
}

TEST_CASE_METHOD(
    StepSimulatorTest,
    "StepSimulator with workers restarted, the tasks they ran run elsewhere") {
  StepSimulator simulator(OptionsWithoutLoad());
  const std::vector<int> jobs = SubmitLongJobs(simulator);
  simulator.At(TimePoint(1900), [&] {
    simulator.RestartWorker(0, Duration(5));
    simulator.RestartWorker(1, Duration(400));
    simulator.RestartWorker(2, Duration(3000));
  });
  simulator.Run(TimePoint(9000));
  CheckCompleted(simulator, jobs);
}

TEST_CASE_METHOD(
    StepSimulatorTest,
    "StepSimulator with agents frozen or partitioned while their workers run "
    "on, their tasks run elsewhere, never twice at a time") {
  StepSimulator simulator(OptionsWithoutLoad());
  const std::vector<int> jobs = SubmitLongJobs(simulator);
  simulator.At(TimePoint(1900), [&] {
    simulator.FreezeAgent(0, Duration(3500));
    simulator.FreezeAgent(1, Duration(900));
    simulator.PartitionAgent(2, Duration(5000));
    simulator.PartitionAgent(3, Duration(700));
  });
  simulator.Run(TimePoint(9000));
  CheckCompleted(simulator, jobs);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a data centre out of service, no task "
                 "starts there until it is back") {
  StepSimulator simulator(Options(kOrdinaryLoadFactor));
  simulator.Run(TimePoint(3000));
  simulator.SetOutOfService("dc-1", true);
  simulator.Run(TimePoint(3400));
  for (TimePoint until(3410); until < TimePoint(5000);
       until = until + Duration(10)) {
    simulator.Run(until);
    if (until < TimePoint(4800)) continue;  // The longest runs have ended.
    CHECK(simulator.worker(1).running().empty());
  }
  simulator.SetOutOfService("dc-1", false);
  simulator.Run(TimePoint(5500));
  CHECK_FALSE(simulator.worker(1).running().empty());
  CheckNoViolations(simulator);
}

TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a worker that fails every run, jobs "
                 "succeed elsewhere and those that always fail are failed") {
  StepSimulatorOptions options = Options(kOrdinaryLoadFactor);
  for (LoadClass& load_class : options.load)
    load_class.always_failing_share = 0.03;
  StepSimulator simulator(options);
  simulator.At(TimePoint(3000), [&] { simulator.faults(4).fails_all = true; });
  simulator.Run(TimePoint(8000));
  simulator.Run(TimePoint(14'000), false);
  for (const auto& [name, report] : simulator.Report()) {
    CAPTURE(name, report.submitted, report.within_objective, report.late,
            report.failed, report.refused);
    // CheckNoViolations checks that only jobs that always fail are failed.
    const int completable = report.submitted - report.failed;
    CHECK(report.within_objective + 0.2 * report.late > 0.9 * completable);
  }
  CheckNoViolations(simulator);
}

}  // namespace
}  // namespace geranium::standins
