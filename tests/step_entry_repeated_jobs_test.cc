#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

/// The same, with the highest incarnation of the entries.
class LastStepEntryNodeTest : public StepEntryNodeTest {
 protected:
  LastStepEntryNodeTest() : StepEntryNodeTest(Incarnation(5)) {}
};

// Guards against others forgetting a job that lasts longer than they remember
// one, and starting it beside its first run.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode with a job open for long announces it again "
                 "before the others forget it") {
  Submit(1);
  Run(Duration(300));
  REQUIRE(Sent<JobsAccepted>(kSecond).size() == 1);
  for (int i = 0; i < 3; ++i) {
    actions_.clear();
    Run(StepEntryNode::kKnownJobRetention - Duration(1000));
    CHECK_FALSE(Sent<JobsAccepted>(kSecond).empty());
    CHECK_FALSE(Sent<JobsAccepted>(kThird).empty());
  }
}

// Guards against a run that goes on beside one here, since its announcements
// were not read for as long as this entry stood still.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that stood still for longer than it remembers "
                 "jobs asks the entry that has one") {
  Receive(kSecond, JobsAccepted{{job_}});
  now_ = now_ + StepEntryNode::kKnownJobRetention + Duration(1);
  Advance(Duration(1));
  Submit(1);
  CHECK(Sent<JobHandoverRequest>(kSecond).size() == 1);
  CHECK(Sent<StartTask>(kAgent).empty());
}

// Guards against a run beside one of a job that was announced meanwhile.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job after it stood still asks all that "
                 "it is linked to until it has read what they sent") {
  now_ = now_ + StepScheduler::kWorkerLostTimeout;
  Advance(Duration(1));
  ReportFreeWorker();
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).empty());
  Receive(kThird, JobHolders{job_, now_, {}, false});
  CHECK(Sent<StartTask>(kAgent).empty());
  Receive(kSecond, JobHolders{job_, now_, {}, false});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that has read what the others sent while it "
                 "stood still starts a job at once") {
  now_ = now_ + StepScheduler::kWorkerLostTimeout;
  Advance(Duration(1));
  ReportFreeWorker();
  for (const LinkId link : {kSecond, kThird}) {
    Receive(link,
            Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
  }
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against two entries that both go on with a job that each took in
// before it had heard of the other's.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode told that a later entry has its job too gives "
                 "the job up") {
  Submit(1);
  Receive(kSecond, JobsAccepted{{job_}});
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
  CHECK(Sent<StopTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(LastStepEntryNodeTest,
                 "StepEntryNode told that an earlier entry has its job too "
                 "goes on with it") {
  Submit(1);
  Receive(kSecond, JobsAccepted{{job_}});
  CHECK_FALSE(AnswerTo(1).has_value());
  CHECK(Sent<StopTask>(kAgent).empty());
}

// Guards against a start beside a run at an entry that took the job in while
// this one waited for a third.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that waits for a job and is told of another "
                 "entry that has it asks that one, too") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kThird, JobsAccepted{{job_}});
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).empty());
  CHECK(Sent<JobHandoverRequest>(kThird).size() == 1);
  Receive(kThird, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against a cancelled job that a late copy of its request brings back.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a copy of a job that was cancelled here "
                 "or at another entry starts nothing of it") {
  const bool is_cancelled_here = GENERATE(true, false);
  if (is_cancelled_here) {
    Submit(1);
    CHECK(node_.CancelJob(job_, now_));
    Collect();
    CHECK(Sent<JobsCancelled>(kSecond).size() == 1);
    EndTask(AttemptEnd::kStopped);
  } else {
    Receive(kSecond, JobsCancelled{{job_}});
  }
  const std::size_t orders = Sent<StartTask>(kAgent).size();
  Run(StepEntryNode::kKnownJobRetention * 2);
  Submit(2);
  CHECK(AnswerTo(2) == StepAnswer::kFailed);
  CHECK(Sent<StartTask>(kAgent).size() == orders);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode told that its job was cancelled stops it") {
  Submit(1);
  Receive(kSecond, JobsCancelled{{job_}});
  CHECK(AnswerTo(1) == StepAnswer::kFailed);
  CHECK(Sent<StopTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked to cancel a job passes it on if another "
                 "entry has the job") {
  CHECK_FALSE(node_.CancelJob(job_, now_));
  Receive(kSecond, JobsAccepted{{job_}});
  CHECK(node_.CancelJob(job_, now_));
  Collect();
  CHECK(Sent<JobsCancelled>(kSecond).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode linked to an entry tells it which jobs were "
                 "cancelled") {
  Submit(1);
  CHECK(node_.CancelJob(job_, now_));
  node_.OnLinkDown(kSecond, now_);
  Collect();
  actions_.clear();
  LinkEntry(kSecond);
  REQUIRE(Sent<JobsCancelled>(kSecond).size() == 1);
  CHECK(Sent<JobsCancelled>(kSecond)[0].jobs == std::vector{job_});
}

// Guards against two entries that wait for each other for good.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked for a job by the entry that it asks "
                 "gives the job up if that one is later") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kSecond, JobHandoverRequest{job_});
  CHECK(Sent<JobHandedOver>(kSecond).size() == 1);
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
}

TEST_CASE_METHOD(LastStepEntryNodeTest,
                 "StepEntryNode asked for a job by the entry that it asks "
                 "waits on if that one is earlier") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kSecond, JobHandoverRequest{job_});
  CHECK(Sent<JobHandedOver>(kSecond).empty());
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that waits for an entry asks it again as soon "
                 "as they are linked again") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  node_.OnLinkDown(kSecond, now_);
  LinkEntry(kSecond);
  CHECK(Sent<JobHandoverRequest>(kSecond).size() == 2);
}

// Guards against tasks that a new process starts beside the runs of an entry
// that it was not linked to yet.
TEST_CASE_METHOD(LastStepEntryNodeTest,
                 "StepEntryNode told of an earlier entry's runs before it has "
                 "started its job waits for their end") {
  Receive(kAgent, WorkerReport{});  // Takes no orders.
  Submit(1);
  REQUIRE(Sent<StartTask>(kAgent).empty());
  Receive(kSecond, JobsAccepted{{job_}});
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).empty());
  REQUIRE(Sent<JobHandoverRequest>(kSecond).size() == 1);
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

}  // namespace
}  // namespace geranium
