#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

/// An entry with a higher incarnation than the others.
class StepEntryHighIncarnationTest : public StepEntryNodeTest {
 protected:
  StepEntryHighIncarnationTest() : StepEntryNodeTest(Incarnation(5)) {}
};

/// An entry with a run of a job that another one has taken in as well, and that
/// a third one has asked for.
class StepEntryGivenUpJobTest : public StepEntryHighIncarnationTest {
 protected:
  StepEntryGivenUpJobTest() {
    Submit(1);
    Receive(kSecond, JobsAccepted{{job_}});
    Receive(kThird, JobHandoverRequest{job_});
    Submit(2);
    EndTask(AttemptEnd::kStopped);
  }
};

// The newer submission is not left held with nobody asked.
TEST_CASE_METHOD(StepEntryGivenUpJobTest,
                 "StepEntryNode sent a job again before it has handed it over "
                 "keeps it until it is asked again") {
  CHECK(Sent<JobHandedOver>(kThird).empty());
  CHECK(Sent<StartTask>(kAgent).size() == 1);
  Receive(kThird, JobHandoverRequest{job_});
  CHECK(Sent<JobHandedOver>(kThird).size() == 1);
  CHECK(AnswerTo(2) == StepAnswer::kAbandoned);
}

TEST_CASE_METHOD(StepEntryGivenUpJobTest,
                 "StepEntryNode sent a job again after it was handed over "
                 "starts nothing before its successor has answered") {
  Receive(kThird, JobHandoverRequest{job_});
  REQUIRE(Sent<JobHandedOver>(kThird).size() == 1);
  Submit(3);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
  Receive(kThird, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 2);
}

// Its caller sends the job to it again while its run is being stopped for the
// other entry that has the job, and whose run goes on.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that gives up a job taken twice and is sent it "
                 "again asks the other entry before it starts the job") {
  Submit(1);
  Receive(kSecond, JobsAccepted{{job_}});
  Receive(kSecond, JobHandoverRequest{job_});
  Submit(2);
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// It has to wait for its own run, too.
TEST_CASE_METHOD(StepEntryHighIncarnationTest,
                 "StepEntryNode sent a job again while it waits for another "
                 "entry and its own run starts it once both have ended") {
  Submit(1);
  Receive(kSecond, JobsAccepted{{job_}});
  REQUIRE(Sent<JobHandoverRequest>(kSecond).size() == 1);
  Submit(2);
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<StartTask>(kAgent).size() == 2);
}

// The wait for its own earlier runs ends with the second caller's connection,
// the runs do not.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job a third time while its first run is "
                 "being stopped starts it once that run has ended") {
  Submit(1);
  Submit(2);
  node_.OnCallerGone(CallerHandle(2), now_);
  Advance(Duration(100));
  Submit(3);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<StartTask>(kAgent).size() == 2);
}

// The earlier answer says nothing of what was missed in the standstill.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that stood still while it waits for a holder "
                 "queries anew before it starts the job") {
  Advance(Duration(1200));
  Submit(1);
  const auto queries = Sent<JobHoldersQuery>(kSecond);
  REQUIRE_FALSE(queries.empty());
  Advance(Duration(60));
  Receive(
      kSecond,
      JobHolders{job_, queries.back().sent_at, {IncarnationAt(kThird)}, true});
  REQUIRE(Sent<JobHandoverRequest>(kThird).size() == 1);
  now_ = now_ + Duration(1200);
  Submit(2);
  Receive(kThird, JobHandedOver{job_});
  Receive(kAgent,
          Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
  ReportFreeWorker();
  Advance(Duration(60));
  CHECK(Sent<StartTask>(kAgent).empty());
  const auto again = Sent<JobHoldersQuery>(kSecond);
  Receive(kSecond, JobHolders{job_, again.back().sent_at, {}, true});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

}  // namespace
}  // namespace geranium
