#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

// The announcement of an accepted job is lost with the link that it was sent
// over, and the job's caller goes to another entry once both are linked again.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with callers and entry links reset together, "
                 "no task of a resubmitted job runs twice") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    StepSimulatorOptions options = OptionsWithoutLoad(seed);
    options.resend_delay = Duration(150);
    StepSimulator simulator(options);
    simulator.Run(TimePoint(1600));
    std::vector<int> jobs;
    for (int i = 0; i < 12; ++i) jobs.push_back(simulator.Submit(0, LongJob()));
    const auto age = static_cast<std::int64_t>(15 * seed);
    simulator.At(TimePoint(1615 + age), [&simulator] {
      // Their workers run on while these agents stop nothing.
      for (int i = 0; i < 6; ++i) simulator.FreezeAgent(i, Duration(280));
      simulator.ResetEntryLinks(0);
      simulator.ResetCallers(0);
    });
    simulator.Run(TimePoint(6000));
    CAPTURE(seed);
    CheckCompleted(simulator, jobs);
  }
}

// Guards against entries that forget an open job of another one, which started
// its tasks beside their first runs.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a job longer than entries remember one "
                 "and late copies of its request, no task of it runs twice") {
  for (const std::int64_t age : {3000, 9000, 12'000, 24'000}) {
    StepSimulatorOptions options = OptionsWithoutLoad();
    options.caller_timeout = Duration(60'000);
    StepSimulator simulator(options);
    simulator.Run(TimePoint(1600));
    LoadClass load_class = LongJob();
    load_class.mean_work = Duration(30'000);
    const int job = simulator.Submit(0, load_class);
    simulator.At(TimePoint(1600 + age), [&] { simulator.SendCopy(job, 2); });
    simulator.At(TimePoint(1800 + age), [&] { simulator.Resubmit(job, 1); });
    simulator.Run(TimePoint(1600 + age + 3000));
    CAPTURE(age);
    CheckNoViolations(simulator);
  }
}

// The first request was held up on its way, by an entry that stood still.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with two copies of a request read by two "
                 "entries at once, no task of the job runs twice") {
  StepSimulator simulator(OptionsWithoutLoad());
  simulator.Run(TimePoint(1600));
  const int job = simulator.Submit(0, LongJob());
  simulator.At(TimePoint(1603), [&] { simulator.SendCopy(job, 1); });
  simulator.Run(TimePoint(4000));
  CHECK(simulator.CountLogMessages("job_taken_twice") == 1);
  CheckNoViolations(simulator);
}

// The caller loses two connections in a row. The second entry has the job held,
// while the first waits for agents that cannot stop its runs yet.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a job resubmitted twice while its first "
                 "entry stops it, it runs at one entry only") {
  const int third = GENERATE(0, 1, 2);
  for (const std::int64_t gap : {1, 5, 40, 120, 260}) {
    StepSimulatorOptions options = OptionsWithoutLoad();
    StepSimulator simulator(options);
    simulator.Run(TimePoint(1600));
    const int job = simulator.Submit(0, LongJob());
    simulator.At(TimePoint(1900), [&] {
      for (int i = 0; i < options.workers; ++i) {
        simulator.FreezeAgent(i, Duration(280));
      }
      simulator.Resubmit(job, 1);
    });
    simulator.At(TimePoint(1900 + gap),
                 [&] { simulator.Resubmit(job, third); });
    simulator.Run(TimePoint(9000));
    CAPTURE(third, gap);
    CheckCompleted(simulator, {job});
  }
}

// Guards against entries that wait for each other in a circle.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a job resubmitted to several entries "
                 "before the first has stopped it, the job completes") {
  const int last = GENERATE(0, 1, 2, 3);
  for (const std::int64_t gap : {1, 5, 40, 120, 400}) {
    StepSimulatorOptions options = OptionsWithoutLoad();
    StepSimulator simulator(options);
    simulator.Run(TimePoint(1600));
    const int job = simulator.Submit(0, LongJob());
    simulator.At(TimePoint(1900), [&] {
      for (int i = 0; i < options.workers; ++i) {
        simulator.FreezeAgent(i, Duration(280));
      }
    });
    TimePoint when(1900);
    for (const int entry : {1, 2, 3, 1, 0, last}) {
      simulator.At(
          when, [&simulator, job, entry] { simulator.Resubmit(job, entry); });
      when = when + Duration(gap);
    }
    simulator.Run(TimePoint(14'000));
    CAPTURE(last, gap);
    CheckCompleted(simulator, {job});
  }
}

// Each of two entries holds that the other one has the job: the first, which
// has it, since the second asked for it once, the second since it was asked.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a job back at its first entry after its "
                 "caller left another one, it can be resubmitted elsewhere") {
  StepSimulatorOptions options = OptionsWithoutLoad();
  options.resend_delay = Duration(5000);  // The test resubmits before.
  StepSimulator simulator(options);
  simulator.Run(TimePoint(1600));
  const int job = simulator.Submit(0, LongJob());
  simulator.At(TimePoint(1900), [&] {
    for (int i = 0; i < options.workers; ++i) {
      simulator.FreezeAgent(i, Duration(280));
    }
    simulator.Resubmit(job, 1);
  });
  TimePoint when(2000);
  for (const int entry : {0, 0, 2}) {
    simulator.At(when, [&] {
      for (int i = 0; i < options.entries; ++i) simulator.ResetCallers(i);
    });
    simulator.At(when + Duration(40),
                 [&simulator, job, entry] { simulator.Resubmit(job, entry); });
    when = when + Duration(300);
  }
  simulator.Run(TimePoint(6000));
  CheckCompleted(simulator, {job});
}

// The job runs at its first entry, whose answer can no longer reach the caller.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with a running job resubmitted to an entry "
                 "that takes nothing in, its caller is not told that it never "
                 "runs") {
  const bool leaves = GENERATE(true, false);
  const TimePoint begin(6000);  // The entries know their workers by then.
  StepSimulator simulator(OptionsWithoutLoad());
  simulator.Run(begin);
  const int job = simulator.Submit(0, LongJob());
  simulator.At(begin + Duration(300), [&] {
    if (leaves) return simulator.LeaveEntry(1, Duration(10));
    for (int i = 0; i < 400; ++i) simulator.Submit(1, LongJob());
  });
  simulator.At(begin + Duration(310), [&] { simulator.Resubmit(job, 1); });
  simulator.Run(begin + Duration(12'000));
  CAPTURE(leaves);
  REQUIRE(simulator.AnswerOf(job).has_value());
  CHECK(Name(*simulator.AnswerOf(job)) != Name(StepAnswer::kRefused));
  CheckNoViolations(simulator);
}

// Nothing is given up or started elsewhere for a silence that ends in time.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with processes silent for a short while, every "
                 "run goes on where it is") {
  const auto fault = GENERATE(0, 1, 2);
  StepSimulatorOptions options = OptionsWithoutLoad();
  StepSimulator simulator(options);
  const std::vector<int> jobs = SubmitLongJobs(simulator);
  simulator.At(TimePoint(1900), [&] {
    constexpr Duration kSilence{500};
    for (int i = 0; i < options.workers; ++i) {
      if (fault == 0) simulator.FreezeAgent(i, kSilence);
      if (fault == 1) simulator.PartitionAgent(i, kSilence);
    }
    for (int i = 0; i < options.entries; ++i) {
      if (fault == 2) simulator.FreezeEntry(i, kSilence);
    }
  });
  simulator.Run(TimePoint(9000));
  CAPTURE(fault);
  CheckCompleted(simulator, jobs);
  CHECK(static_cast<int>(simulator.starts()) ==
        simulator.CountLogMessages("run_done"));
}

// A run is placed again only when it must have ended: its worker runs on for as
// long as the agent's last lease.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with processes silent for seconds, no task "
                 "runs twice at a time and every job completes") {
  const auto silence = GENERATE(500, 1000, 2000, 4000);
  const auto fault = GENERATE(0, 1, 2);
  StepSimulatorOptions options = OptionsWithoutLoad();
  options.caller_timeout = Duration(30'000);
  StepSimulator simulator(options);
  simulator.Run(TimePoint(1600));
  LoadClass load_class = LongJob();
  load_class.mean_work = Duration(4000);
  std::vector<int> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(simulator.Submit(i % options.entries, load_class));
  }
  simulator.At(TimePoint(1900), [&] {
    for (int i = 0; i < options.workers; i += 2) {
      if (fault == 0) simulator.FreezeAgent(i, Duration(silence));
      if (fault == 1) simulator.PartitionAgent(i, Duration(silence));
    }
    for (int i = 0; i < options.entries; i += 2) {
      if (fault == 2) simulator.FreezeEntry(i, Duration(silence));
    }
  });
  simulator.Run(TimePoint(30'000));
  CAPTURE(fault, silence);
  CheckCompleted(simulator, jobs);
}

// Guards against a new process that starts a job of which it knows nothing, but
// of which its predecessor's runs go on.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with an entry restarted and sent a job again "
                 "that it had before, no task of the job runs twice") {
  StepSimulatorOptions options = OptionsWithoutLoad();
  options.entries = GENERATE(1, 4);
  options.caller_timeout = Duration(20'000);
  CAPTURE(options.entries);
  StepSimulator simulator(options);
  simulator.Run(TimePoint(1600));
  LoadClass load_class = LongJob();
  load_class.mean_work = Duration(4000);
  const int job = simulator.Submit(0, load_class);
  // The caller notices that its connection broke long before the entry is
  // killed.
  simulator.At(TimePoint(3100), [&] { simulator.KillEntry(0, Duration(50)); });
  simulator.At(TimePoint(3250), [&] { simulator.Resubmit(job, 0); });
  simulator.Run(TimePoint(6000));
  CheckNoViolations(simulator);
}

}  // namespace
}  // namespace geranium::standins
