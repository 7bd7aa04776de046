#include <memory>

#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

class StepEntryQueriesTest : public StepEntryNodeTest {
 protected:
  explicit StepEntryQueriesTest(Duration age = Duration(1600))
      : StepEntryNodeTest(Incarnation(1), age) {}

  void StandStill() {
    now_ = now_ + StepScheduler::kWorkerLostTimeout;
    Advance(Duration(1));
    ReportFreeWorker();
  }

  /// Long enough for all that are awake to have answered.
  void PassCatchUpTime() {
    Advance(Duration(60));
    ReportFreeWorker();
  }

  void AnswerQuery(LinkId link, std::vector<Incarnation> holders,
                   bool knows_all) {
    const auto queries = Sent<JobHoldersQuery>(link);
    REQUIRE_FALSE(queries.empty());
    Receive(link, JobHolders{job_, queries.back().sent_at, std::move(holders),
                             knows_all});
  }

  JobHolders AskForHolders(LinkId link) {
    Receive(link, JobHoldersQuery{job_, TimePoint(77)});
    const auto answers = Sent<JobHolders>(link);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].job == job_);
    CHECK(answers[0].query_sent_at == TimePoint(77));
    return answers[0];
  }
};

// Guards against jobs that wait for the loss of an entry that stands still.
TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode sent a job after it stood still starts it "
                 "once an entry that missed nothing knows of no holder, though "
                 "another does not answer") {
  StandStill();
  PassCatchUpTime();
  Submit(1);
  CHECK(Sent<JobHoldersQuery>(kThird).size() == 1);
  CHECK(Sent<StartTask>(kAgent).empty());
  AnswerQuery(kSecond, {}, true);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against a start beside a run at an entry that is about to answer.
TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode that has just stood still gives all others "
                 "time to answer before one speaks for them") {
  StandStill();
  Submit(1);
  AnswerQuery(kSecond, {}, true);
  CHECK(Sent<StartTask>(kAgent).empty());
  AnswerQuery(kThird, {IncarnationAt(kThird)}, false);
  CHECK(Sent<StartTask>(kAgent).empty());
  CHECK(Sent<JobHandoverRequest>(kThird).size() == 1);
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode sent a job after it stood still does not start "
                 "it on the word of an entry that stood still, too") {
  StandStill();
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kSecond, {}, false);
  PassCatchUpTime();
  CHECK(Sent<StartTask>(kAgent).empty());
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode told who holds a job after it stood still asks "
                 "for it before it starts it") {
  StandStill();
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kSecond, {IncarnationAt(kThird)}, true);
  CHECK(Sent<JobHandoverRequest>(kThird).size() == 1);
  CHECK(Sent<StartTask>(kAgent).empty());
  Receive(kThird, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against an answer that was sent before what was missed.
TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode ignores answers to queries from before it "
                 "stood still") {
  StandStill();
  PassCatchUpTime();
  Submit(1);
  const auto queries = Sent<JobHoldersQuery>(kSecond);
  REQUIRE(queries.size() == 1);
  StandStill();
  PassCatchUpTime();
  Submit(2);
  Receive(kSecond, JobHolders{job_, queries[0].sent_at, {}, true});
  CHECK(Sent<StartTask>(kAgent).empty());
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode refuses a job as not run if nobody had it "
                 "while it stood still and no worker is free") {
  StandStill();
  PassCatchUpTime();
  WorkerReport full;
  full.accepting = true;
  Receive(kAgent, full);
  Submit(1);
  AnswerQuery(kSecond, {}, true);
  Run(Duration(20'000));
  CHECK(AnswerTo(1) == StepAnswer::kRefused);
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode that is leaving and has just stood still does "
                 "not say of a job that it has not run") {
  StandStill();
  node_.Leave(now_);
  Submit(1);
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
}

// Guards against a start on the word of one that spoke before a standstill.
TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode that stands still while it queries a job "
                 "queries it again") {
  StandStill();
  Submit(1);
  AnswerQuery(kSecond, {}, true);
  actions_.clear();
  StandStill();
  PassCatchUpTime();
  Submit(2);
  CHECK(Sent<StartTask>(kAgent).empty());
  AnswerQuery(kSecond, {}, true);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode asked who holds a job names itself and those "
                 "that announced it") {
  Run(Duration(4000));
  actions_.clear();
  SECTION("held here") {
    ReportFreeWorker();
    Submit(1);
    const JobHolders answer = AskForHolders(kSecond);
    CHECK(answer.entries == std::vector{Incarnation(1)});
    CHECK(answer.knows_all);
  }
  SECTION("announced by another entry") {
    Receive(kThird, JobsAccepted{{job_}});
    CHECK(AskForHolders(kSecond).entries == std::vector{IncarnationAt(kThird)});
  }
  SECTION("announced by the one that asks") {
    Receive(kSecond, JobsAccepted{{job_}});
    CHECK(AskForHolders(kSecond).entries.empty());
  }
}

// Guards against two entries that both give a job up.
TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode that told another entry of its job goes on "
                 "with it until that one asks for it") {
  Submit(1);
  CHECK(AskForHolders(kSecond).entries == std::vector{Incarnation(1)});
  Receive(kSecond, JobsAccepted{{job_}});
  CHECK_FALSE(AnswerTo(1).has_value());
  Receive(kSecond, JobHandoverRequest{job_});
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode that has missed announcements does not speak "
                 "for others") {
  SECTION("it has just started") { Run(Duration(1000)); }
  SECTION("it has just stood still") {
    Run(Duration(4000));
    StandStill();
  }
  CHECK_FALSE(AskForHolders(kSecond).knows_all);
}

TEST_CASE_METHOD(StepEntryQueriesTest,
                 "StepEntryNode answers at once the heartbeat of an entry that "
                 "stood still") {
  Run(Duration(300));
  actions_.clear();
  Receive(kSecond, Heartbeat{now_ + StepEntryNode::kMaxStandstill * 2, now_,
                             Version(1), std::nullopt, std::nullopt});
  CHECK(Sent<Heartbeat>(kSecond).size() == 1);
}

class JustStartedEntryTest : public StepEntryQueriesTest {
 protected:
  JustStartedEntryTest() : StepEntryQueriesTest(Duration(0)) {}
};

// Guards against a job that runs at an entry that is not linked yet.
TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode that has just started starts a job once an "
                 "entry that missed nothing knows of no holder") {
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kThird, {}, false);
  CHECK(Sent<StartTask>(kAgent).empty());
  AnswerQuery(kSecond, {}, true);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against runs of its earlier process, and against a wait without end.
TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode that has just started where nobody knows all "
                 "starts a job when runs from before have ended") {
  Receive(kSecond, Members{{"entry-not-linked"}});
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kSecond, {}, false);
  AnswerQuery(kThird, {}, false);
  Run(Duration(1400));
  CHECK(Sent<StartTask>(kAgent).empty());
  Run(Duration(100));
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode that has just started where nobody knows all "
                 "refuses a job as not run if no worker is free") {
  Receive(kSecond, Members{{"entry-not-linked"}});
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kSecond, {}, false);
  AnswerQuery(kThird, {}, false);
  WorkerReport full;
  full.accepting = true;
  Receive(kAgent, full);
  Run(Duration(9000));
  CHECK(AnswerTo(1) == StepAnswer::kRefused);
}

TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode that has just started with all entries starts "
                 "a job once all have answered for themselves") {
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kSecond, {}, false);
  CHECK(Sent<StartTask>(kAgent).empty());
  AnswerQuery(kThird, {}, false);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

// Guards against a process that stalls before it is linked to all others.
TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode that stands still just after its start counts "
                 "as just started again") {
  node_.OnLinkDown(kSecond, now_);
  node_.OnLinkDown(kThird, now_);
  StandStill();
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).empty());
}

TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode without a route table refuses jobs that it "
                 "knows nothing of as not run") {
  std::destroy_at(&node_);
  std::construct_at(&node_, Options(Incarnation(1)));
  Submit(1);
  CHECK(AnswerTo(1) == StepAnswer::kRefused);
}

// Guards against a wait for an entry that has been dead for long.
TEST_CASE_METHOD(JustStartedEntryTest,
                 "StepEntryNode that waits for an entry never linked goes on "
                 "when the one that named it names it no more") {
  const Incarnation dead(7);
  PassCatchUpTime();
  Submit(1);
  AnswerQuery(kSecond, {dead}, true);
  Run(Duration(400));
  REQUIRE(Sent<JobHoldersQuery>(kSecond).size() > 1);
  AnswerQuery(kThird, {}, true);
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).empty());
  AnswerQuery(kSecond, {}, true);
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

}  // namespace
}  // namespace geranium
