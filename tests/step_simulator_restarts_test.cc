#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

/// Entries are killed at `kKill` and back 50 ms later; the workers run on.
class StepSimulatorRestartsTest : public StepSimulatorTest {
 protected:
  static constexpr TimePoint kKill{3500};
  static constexpr Duration kDown{50};

  StepSimulatorRestartsTest() : simulator_(Options()) {}

  static StepSimulatorOptions Options() {
    StepSimulatorOptions options = OptionsWithoutLoad();
    options.caller_timeout = Duration(20'000);
    return options;
  }

  /// A job that runs at `entry` until after the kill.
  int SubmitLastingJob(int entry) {
    LoadClass load_class = LongJob();
    load_class.mean_work = Duration(4000);
    return simulator_.Submit(entry, load_class);
  }

  void KillAtOnce(const std::vector<int>& entries) {
    simulator_.At(kKill, [this, entries] {
      for (const int entry : entries) simulator_.KillEntry(entry, kDown);
    });
  }

  /// The entry that has the job so far does not notice that its caller is gone.
  void ResubmitAfterKill(int job, int entry, Duration delay) {
    simulator_.At(kKill + delay,
                  [this, job, entry] { simulator_.Resubmit(job, entry); });
  }

  StepSimulator simulator_;
};

// Guards against a new process that starts a job since it has not heard of the
// entry yet at which it runs. Agents are linked before that.
TEST_CASE_METHOD(StepSimulatorRestartsTest,
                 "StepSimulator with an entry restarted and sent a job that "
                 "another has before they are linked, no task of it runs "
                 "twice") {
  const std::vector<int> cut_from =
      GENERATE(std::vector{1}, std::vector{1, 2, 3});
  simulator_.Run(TimePoint(1600));
  const int job = SubmitLastingJob(1);
  KillAtOnce({0});
  simulator_.At(kKill, [this, cut_from] {
    for (const int other : cut_from) {
      simulator_.PartitionNodes(0, other, Duration(900));
    }
  });
  ResubmitAfterKill(job, 0, Duration(600));
  simulator_.Run(TimePoint(14'000));
  CAPTURE(cut_from);
  CheckCompleted(simulator_, {job});
}

TEST_CASE_METHOD(StepSimulatorRestartsTest,
                 "StepSimulator with two entries restarted together and sent "
                 "jobs again, no task of them runs twice") {
  const std::int64_t delay = GENERATE(60, 150, 400, 1300);
  simulator_.Run(TimePoint(1600));
  std::vector<int> jobs;
  for (const int entry : {0, 1, 2}) jobs.push_back(SubmitLastingJob(entry));
  KillAtOnce({0, 1});
  ResubmitAfterKill(jobs[0], 0, Duration(delay));
  ResubmitAfterKill(jobs[1], 0, Duration(delay));
  ResubmitAfterKill(jobs[2], 1, Duration(delay));
  simulator_.Run(TimePoint(16'000));
  CAPTURE(delay);
  CheckCompleted(simulator_, jobs);
}

// Nobody is left that knows what ran.
TEST_CASE_METHOD(StepSimulatorRestartsTest,
                 "StepSimulator with all entries restarted together and sent "
                 "jobs again, no task of them runs twice") {
  const std::int64_t delay = GENERATE(60, 150, 400, 1300);
  simulator_.Run(TimePoint(1600));
  std::vector<int> jobs;
  for (int i = 0; i < 8; ++i) jobs.push_back(SubmitLastingJob(i % 4));
  KillAtOnce({0, 1, 2, 3});
  for (int i = 0; i < 8; ++i) {
    ResubmitAfterKill(jobs[static_cast<std::size_t>(i)], i / 2,
                      Duration(delay));
  }
  simulator_.Run(TimePoint(16'000));
  CAPTURE(delay);
  CheckCompleted(simulator_, jobs);
}

// What was sent again must not wait longer than its earlier runs can last.
TEST_CASE_METHOD(StepSimulatorRestartsTest,
                 "StepSimulator with an entry restarted and sent its job "
                 "again, the job is started soon after its earlier runs can "
                 "have ended") {
  simulator_.Run(TimePoint(1600));
  const int job = SubmitLastingJob(0);
  KillAtOnce({0});
  ResubmitAfterKill(job, 0, Duration(1200));
  simulator_.Run(kKill + Duration(1200));
  const std::uint64_t starts = simulator_.starts();
  simulator_.Run(kKill + Duration(1900));
  CHECK(simulator_.starts() > starts);
  CheckNoViolations(simulator_);
}

// A fresh job waits for one round trip only.
TEST_CASE_METHOD(StepSimulatorRestartsTest,
                 "StepSimulator with an entry that has just restarted, jobs "
                 "sent there for the first time are started at once") {
  simulator_.Run(kKill);
  KillAtOnce({0});
  simulator_.Run(kKill + Duration(300));
  REQUIRE(simulator_.starts() == 0);
  simulator_.Submit(0, LongJob());
  simulator_.Run(kKill + Duration(320));
  CHECK(simulator_.starts() > 0);
}

}  // namespace
}  // namespace geranium::standins
