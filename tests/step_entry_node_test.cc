#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked for a running job hands it over only "
                 "when its run has ended") {
  Submit(1);
  REQUIRE(Sent<StartTask>(kAgent).size() == 1);
  Receive(kSecond, JobHandoverRequest{job_});
  CHECK(Sent<StopTask>(kAgent).size() == 1);
  CHECK(Sent<JobHandedOver>(kSecond).empty());
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<JobHandedOver>(kSecond).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked for a job by two entries hands it over "
                 "to the first and tells the other") {
  const bool after_handover = GENERATE(false, true);
  Submit(1);
  Receive(kSecond, JobHandoverRequest{job_});
  if (after_handover) EndTask(AttemptEnd::kStopped);
  Receive(kThird, JobHandoverRequest{job_});
  if (!after_handover) EndTask(AttemptEnd::kStopped);
  CHECK(Sent<JobHandedOver>(kSecond).size() == 1);
  CHECK(Sent<JobHandedOver>(kThird).empty());
  REQUIRE(Sent<JobMoved>(kThird).size() == 1);
  CHECK(Sent<JobMoved>(kThird)[0].entry == IncarnationAt(kSecond));
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked again after its answer was lost answers "
                 "again") {
  Submit(1);
  Receive(kSecond, JobHandoverRequest{job_});
  EndTask(AttemptEnd::kStopped);
  Receive(kSecond, JobHandoverRequest{job_});
  CHECK(Sent<JobHandedOver>(kSecond).size() == 2);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode told that a job has moved asks its new entry "
                 "and starts it after that one's answer") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  CHECK(Sent<JobHandoverRequest>(kSecond).size() == 1);
  Receive(kSecond, JobMoved{job_, IncarnationAt(kThird)});
  CHECK(Sent<JobHandoverRequest>(kThird).size() == 1);
  CHECK(Sent<StartTask>(kAgent).empty());
  Receive(kThird, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against entries that wait for each other in a circle.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked for a job that it waits for itself hands "
                 "it over and names the entry that it waited for") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kThird, JobHandoverRequest{job_});
  REQUIRE(Sent<JobHandedOver>(kThird).size() == 1);
  CHECK(Sent<JobHandedOver>(kThird)[0].holders ==
        std::vector{IncarnationAt(kSecond)});
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).empty());
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that is handed a job over asks the entries "
                 "named with it before it starts the job") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kSecond, JobHandedOver{job_, {IncarnationAt(kThird)}});
  REQUIRE(Sent<JobHandoverRequest>(kThird).size() == 1);
  CHECK(Sent<JobHandoverRequest>(kThird)[0].released ==
        std::vector{IncarnationAt(kSecond)});
  CHECK(Sent<StartTask>(kAgent).empty());
  Receive(kThird, JobHandedOver{job_, {IncarnationAt(kSecond)}});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode asked for a job that its successor has handed "
                 "on hands it over once its run has ended") {
  Submit(1);
  Receive(kSecond, JobHandoverRequest{job_});
  Receive(kThird, JobHandoverRequest{job_, {IncarnationAt(kSecond)}});
  CHECK(Sent<JobMoved>(kThird).empty());
  CHECK(Sent<JobHandedOver>(kThird).empty());
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<JobHandedOver>(kThird).size() == 1);
  CHECK(Sent<JobHandedOver>(kSecond).empty());
}

// A request sent for a caller that has gone would take the job from the entry
// that its caller went to.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode whose caller has gone asks for the job no "
                 "longer") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  node_.OnCallerGone(CallerHandle(1), now_);
  actions_.clear();
  for (int i = 0; i < 10; ++i) Advance(Duration(100));
  CHECK(Sent<JobHandoverRequest>(kSecond).empty());
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode with a handover answered twice or late starts "
                 "the job once") {
  Receive(kSecond, JobsAccepted{{job_}});
  Receive(kSecond, JobHandedOver{job_});
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).empty());
  Receive(kSecond, JobHandedOver{job_});
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode whose link to an entry comes back tells it "
                 "which jobs are open") {
  Submit(1);
  node_.OnLinkDown(kSecond, now_);
  actions_.clear();
  LinkEntry(kSecond);
  REQUIRE(Sent<JobsAccepted>(kSecond).size() == 1);
  CHECK(Sent<JobsAccepted>(kSecond)[0].jobs == std::vector{job_});
}

// The caller got no answer to the first submission, so a refusal, which says
// that nothing has run, would be false.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that leaves does not say of a job which it has "
                 "run that it never runs") {
  Submit(1);
  EndTask(AttemptEnd::kDone);
  REQUIRE(AnswerTo(1) == StepAnswer::kCompleted);
  node_.Leave(now_);
  Submit(2);
  CHECK(AnswerTo(2) == StepAnswer::kAbandoned);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that leaves refuses a job that it knows "
                 "nothing of") {
  node_.Leave(now_);
  Submit(1);
  CHECK(AnswerTo(1) == StepAnswer::kRefused);
  Advance(Duration(300));
  CHECK(Sent<JobsAccepted>(kSecond).empty());
}

// Guards against a job taken in though its tasks do not fit in the time left.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that leaves refuses a job whose tasks it has "
                 "no room to run in time") {
  Advance(Duration(10));
  node_.Leave(now_ + Duration(2000));
  tasks_ = 32 * 20;  // On 32 cores, 100 ms each.
  Submit(1);
  CHECK(AnswerTo(1) == StepAnswer::kRefused);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that has to end answers its open jobs") {
  Submit(1);
  node_.AbandonOpenJobs(now_);
  Collect();
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
  CHECK(node_.IsIdle());
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job three times while its first run is "
                 "being stopped starts it again only after that run") {
  Submit(1);
  Submit(2);
  Submit(3);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<StartTask>(kAgent).size() == 2);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job twice and asked for it hands it "
                 "over only when its first run has ended") {
  Submit(1);
  Submit(2);
  Receive(kSecond, JobHandoverRequest{job_});
  CHECK(Sent<JobHandedOver>(kSecond).empty());
  EndTask(AttemptEnd::kStopped);
  CHECK(Sent<JobHandedOver>(kSecond).size() == 1);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that stood still for so long that another "
                 "entry may have taken its job over starts no task of it") {
  const bool tick_comes_first = GENERATE(true, false);
  const std::int64_t standstill_ms = GENERATE(1000, 1500);
  Submit(1);
  now_ = now_ + Duration(standstill_ms);
  if (tick_comes_first) Advance(Duration(1));
  ReportFreeWorker();
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
  Advance(Duration(10));
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that stood still for a short while keeps its "
                 "jobs") {
  const std::int64_t standstill_ms = GENERATE(500, 999);
  Submit(1);
  now_ = now_ + Duration(standstill_ms);
  ReportFreeWorker();
  CHECK_FALSE(AnswerTo(1).has_value());
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job after it stood still asks the entry "
                 "that has the job, whose heartbeats it has not read yet") {
  Receive(kSecond, JobsAccepted{{job_}});
  now_ = now_ + StepScheduler::kWorkerLostTimeout + Duration(1);
  const bool tick_comes_first = GENERATE(true, false);
  if (tick_comes_first) Advance(Duration(1));
  Submit(1);
  Receive(kSecond,
          Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
  ReportFreeWorker();
  CHECK(Sent<JobHandoverRequest>(kSecond).size() == 1);
  CHECK(Sent<StartTask>(kAgent).empty());
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job again ignores a second answer to an "
                 "earlier handover while its own run is being stopped") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kSecond, JobHandedOver{job_});
  REQUIRE(Sent<StartTask>(kAgent).size() == 1);
  Submit(2);
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job again and told late that it has "
                 "moved starts it only after its own run") {
  Receive(kSecond, JobsAccepted{{job_}});
  Submit(1);
  Receive(kSecond, JobHandedOver{job_});
  REQUIRE(Sent<StartTask>(kAgent).size() == 1);
  Submit(2);
  Receive(kSecond, JobMoved{job_, IncarnationAt(kThird)});
  Receive(kThird, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode sent a job that two others announced asks the "
                 "first of them when the second is lost") {
  Receive(kSecond, JobsAccepted{{job_}});
  Receive(kThird, JobsAccepted{{job_}});
  Submit(1);
  const TimePoint end = now_ + StepScheduler::kWorkerLostTimeout * 2;
  while (now_ < end) {
    Receive(kSecond,
            Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
    ReportFreeWorker();
    Advance(Duration(50));
  }
  CHECK(Sent<JobHandoverRequest>(kSecond).size() >= 1);
  CHECK(Sent<StartTask>(kAgent).empty());
}

TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that gets a late card of a replaced agent goes "
                 "on with the run at its successor") {
  const LinkId successor{11};
  Receive(kAgent, WorkerReport{});
  LinkAgent(successor);
  Submit(1);
  REQUIRE(Sent<StartTask>(successor).size() == 1);
  Receive(kAgent, Card());
  CHECK(Sent<StartTask>(successor).size() == 1);
}

// Guards against an order that is taken for lost by a list made before it was
// sent, while its run goes on.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that reads an agent's older link after its "
                 "newer one goes on with the newer one and its orders") {
  const LinkId older(11);
  const LinkId newer(12);
  Hello hello;
  hello.role = ProcessRole::kAgent;
  hello.incarnation = IncarnationAt(kAgent);
  node_.OnLinkDown(kAgent, now_);
  node_.OnLinkUp(older, now_);
  node_.OnLinkUp(newer, now_);
  Receive(newer, hello);
  Receive(newer, AttemptList{});
  Receive(newer, Card());
  ReportFreeWorker(newer);
  Submit(1);
  REQUIRE(Sent<StartTask>(newer).size() == 1);
  Receive(older, hello);
  Receive(older, AttemptList{});
  Receive(older, Card());
  ReportFreeWorker(older);
  node_.OnLinkDown(older, now_);
  Advance(Duration(20));
  ReportFreeWorker(newer);
  CHECK(Sent<StartTask>(older).empty());
  CHECK(Sent<StartTask>(newer).size() == 1);
  const AttemptId attempt = Sent<StartTask>(newer)[0].attempt;
  Receive(newer, TaskEnd{attempt, AttemptEnd::kDone, ""});
  CHECK(AnswerTo(1) == StepAnswer::kCompleted);
}

// Guards against two entries that run a job: the others hear of this one by its
// heartbeats, not by what it reads.
TEST_CASE_METHOD(StepEntryNodeTest,
                 "StepEntryNode that stood still twice without a heartbeat "
                 "between abandons its jobs") {
  Submit(1);
  Run(Duration(300));
  REQUIRE_FALSE(AnswerTo(1).has_value());
  for (int i = 0; i < 2; ++i) {
    now_ = now_ + StepEntryNode::kMaxStandstill - Duration(50);
    Receive(kAgent,
            Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
  }
  Advance(Duration(1));
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
}

}  // namespace
}  // namespace geranium
