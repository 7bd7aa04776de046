#include "worker_session_fixture.h"

namespace geranium {
namespace {

/// Four runs of 8 cores each fill the worker.
class WorkerSessionReportTest : public WorkerSessionTest {
 protected:
  TaskRun StartOne(std::uint64_t number) {
    const TaskRun run = Order(kFirst, number);
    Tick();
    session_.OnStartEnded(run, AcceptedOrder(), now_);
    Tick();
    return run;
  }

  void Fill() {
    for (std::uint64_t number = 1; number <= kFullWorker; ++number) {
      runs_.push_back(StartOne(number));
    }
  }

  void ShowProgress(int percent) {
    PollOutcome outcome;
    for (const TaskRun& run : runs_) outcome.running.push_back({run, percent});
    AnswerPoll(outcome);
  }

  /// The last report, after one that is due has been sent.
  WorkerReport Report() {
    Advance(Duration(40));
    session_.OnEventsHandled(now_);
    Tick();
    std::optional<WorkerReport> last;
    for (const SessionAction& action : actions_) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) continue;
      const auto* report = std::get_if<WorkerReport>(&send->message);
      if (report != nullptr) last = *report;
    }
    REQUIRE(last.has_value());
    return *last;
  }

  std::vector<TaskRun> runs_;
};

// Without an expected end, a task with data in the rack waits for it blindly.
TEST_CASE_METHOD(WorkerSessionReportTest,
                 "WorkerSession of a full worker reports when the first of its "
                 "runs should end") {
  estimate_ = Duration(1000);
  StartOne(9);
  CHECK(Report().next_end == Duration(0));
  runs_.clear();
  for (std::uint64_t number = 1; number < kFullWorker; ++number) {
    StartOne(number);
  }
  // The first run has been running for 40 ms when the report is sent ...
  const Duration before_progress = Report().next_end;
  CHECK(before_progress <= Duration(960));
  CHECK(before_progress >= Duration(900));
}

TEST_CASE_METHOD(WorkerSessionReportTest,
                 "WorkerSession expects the end of a run by its progress, not "
                 "by a wrong estimate") {
  estimate_ = Duration(5000);
  Fill();
  Advance(Duration(60));
  ShowProgress(50);
  estimate_ = Duration(100);
  (void)Order(kFirst, 20);  // Has the state reported again.
  const Duration next_end = Report().next_end;
  CHECK(next_end >= Duration(1));
  CHECK(next_end <= Duration(60));
}

TEST_CASE_METHOD(WorkerSessionReportTest,
                 "WorkerSession with an overdue run expects its end at any "
                 "moment and does not report a free core") {
  estimate_ = Duration(20);
  Fill();
  Advance(Duration(100));
  (void)Order(kFirst, 20);
  CHECK(Report().next_end == Duration(1));
}

TEST_CASE_METHOD(WorkerSessionReportTest,
                 "WorkerSession reports on how many runs its speed is based, "
                 "and none after a restart of its server") {
  for (std::uint64_t number = 1; number <= 6; ++number) {
    const TaskRun run = StartOne(number);
    Advance(Duration(10));
    PollOutcome outcome;
    outcome.ended.push_back({number, run, RunEnd::kDone});
    AnswerPoll(outcome);
  }
  CHECK(Report().speed_runs == 6);
  CHECK(Report().slowness == Approx(0.1).margin(0.05));
  WorkerAnnouncement restarted;
  restarted.id = WorkerId("w");
  restarted.service = ServiceName("s");
  restarted.capacity = Resources{32, 1024, 0};
  restarted.started_ms = 2;
  restarted.sequence = ++sequence_;
  session_.OnAnnouncement(restarted, now_);
  const WorkerReport report = Report();
  CHECK(report.speed_runs == 0);
  CHECK(report.slowness == 1);
}

}  // namespace
}  // namespace geranium
