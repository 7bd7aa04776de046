#include "worker_session_fixture.h"

namespace geranium {
namespace {

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession when a run ends, its entry gets the report "
                 "with the end and the other entries get theirs later") {
  Advance(Duration(100));
  SendHeartbeats();
  const TaskRun run = Order(kFirst, 1);
  Tick();
  OrderOutcome accepted;
  accepted.reply = OrderReply::kAccepted;
  accepted.clock_ms = now_.ms();
  session_.OnStartEnded(run, accepted, now_);
  Advance(Duration(3));
  actions_.clear();
  PollOutcome outcome;
  outcome.ended.push_back({1, run, RunEnd::kDone});
  AnswerPoll(outcome);
  CHECK(CountSent<TaskEnd>(kFirst) == 1);
  CHECK(CountSent<WorkerReport>(kFirst) == 1);
  CHECK(CountSent<WorkerReport>(kSecond) == 0);
  Advance(Duration(60));
  CHECK(CountSent<WorkerReport>(kFirst) == 1);
  CHECK(CountSent<WorkerReport>(kSecond) == 1);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession when a run ends, its log line names the entry "
                 "that ordered it") {
  for (const LinkId link : {kFirst, kSecond}) {
    const TaskRun run = Order(link, link.value());
    Tick();
    session_.OnStartEnded(run, AcceptedOrder(), now_);
    PollOutcome outcome;
    outcome.ended.push_back({link.value(), run, RunEnd::kDone});
    AnswerPoll(outcome);
    auto logged = LastLogged("run_done");
    CHECK(logged["entry"] == "entry-" + std::to_string(link.value()));
    CHECK(logged["entry_incarnation"] == ToString(Incarnation(link.value())));
  }
}

// Guards against runs that their entry counts as lost, and places again, since
// the link to it broke while it was being released.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose link to a released entry breaks dials it "
                 "until the entry's runs have ended") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, AcceptedOrder(), now_);
  std::vector<std::string> others;
  for (int i = 3; i < 30; ++i) others.push_back("entry-" + std::to_string(i));
  session_.AddEntries(others, now_);
  session_.OnLinkDown(kFirst, now_);
  actions_.clear();
  Advance(Duration(400));
  const auto is_dropped = [this] {
    return std::any_of(
        actions_.begin(), actions_.end(), [](const SessionAction& action) {
          const auto* drop = std::get_if<DisconnectEntry>(&action);
          return drop != nullptr && drop->address == "entry-1";
        });
  };
  CHECK_FALSE(is_dropped());
  PollOutcome outcome;
  outcome.ended.push_back({1, run, RunEnd::kDone});
  AnswerPoll(outcome);
  session_.OnLinkUp(kFirst, now_);
  Hello hello;
  hello.role = ProcessRole::kEntry;
  hello.incarnation = Incarnation(kFirst.value());
  hello.link_address = "entry-1";
  session_.OnMessage(kFirst, hello, now_);
  session_.OnMessage(
      kFirst, TaskEndAck{AttemptId{Incarnation(kFirst.value()), 1}}, now_);
  Advance(Duration(500));
  CHECK(is_dropped());
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession with nothing to do is next due at a heartbeat, "
                 "not at every millisecond") {
  Advance(Duration(50));
  AnswerPoll(PollOutcome{});
  CHECK(session_.TimeToNextTick(now_) > Duration(20));
  CHECK(session_.TimeToNextTick(now_) <=
        WorkerSession::kHeartbeatInterval + Duration(1));
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession resumed after a pause returns orders that it "
                 "was sent before, though its worker answers") {
  Advance(Duration(50));
  now_ = now_ + kPause;
  session_.OnPollEnded(polls_.back().number, AcceptedPoll(), now_);
  actions_.clear();
  REQUIRE(session_.IsAccepting(now_));
  Order(kFirst, 1);
  Tick();
  CHECK(CountActions<StartRun>() == 0);
  CHECK(CountSent<TaskEnd>(kFirst) == 1);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession resumed after a pause starts none of the "
                 "orders that were queued before") {
  for (std::uint64_t i = 1; i <= kFullWorker + 1; ++i) {
    Order(kFirst, i, Duration(60'000));
  }
  Tick();
  REQUIRE(CountActions<StartRun>() == kFullWorker);
  actions_.clear();
  now_ = now_ + kPause;
  Tick();
  CHECK(CountActions<StartRun>() == 0);
  CHECK(CountSent<TaskEnd>(kFirst) >= 1);
}

// Guards against a task started elsewhere while the copy of its order that was
// lost runs it.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession with a start order sent twice and its first "
                 "copy lost gives the task back only once it is stopped") {
  OrderOutcome rejected;
  rejected.earlier_copy_lost = true;
  rejected.reply =
      GENERATE(OrderReply::kFenced, OrderReply::kSuperseded,
               OrderReply::kExpired, OrderReply::kNoCapacity,
               OrderReply::kUnhealthy, OrderReply::kOtherIncarnation,
               OrderReply::kMalformed, OrderReply::kConnectionRefused);
  const TaskRun run = Order(kFirst, 1);
  Tick();
  actions_.clear();
  session_.OnStartEnded(run, rejected, now_);
  Tick();
  CHECK(CountSent<TaskEnd>(kFirst) == 0);
  CHECK(session_.in_use().cpu == 8);
  CHECK(CountActions<StopRun>() == 1);
  PollOutcome running;
  running.running.push_back({run, 0});
  AnswerPoll(running);
  session_.OnStopEnded(run, AcceptedOrder(), now_);
  AnswerPoll(PollOutcome{});  // Sent before the stop was accepted.
  CHECK(CountSent<TaskEnd>(kFirst) == 0);
  AnswerPoll(PollOutcome{});
  CHECK(CountSent<TaskEnd>(kFirst) == 1);
  CHECK(session_.in_use().cpu == 0);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose worker rejects the stop of a start in "
                 "doubt sends it again within a few milliseconds") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, OrderOutcome{}, now_);
  Tick();
  actions_.clear();
  OrderOutcome rejected;
  rejected.reply = OrderReply::kUnhealthy;
  session_.OnStopEnded(run, rejected, now_);
  Tick();
  CHECK(CountActions<StopRun>() == 0);
  Advance(WorkerSession::kRejectedStopRetryInterval + Duration(1));
  CHECK(CountActions<StopRun>() == 1);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession with a start order sent twice and its second "
                 "copy accepted runs it") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  actions_.clear();
  OrderOutcome accepted = AcceptedOrder();
  accepted.earlier_copy_lost = true;
  session_.OnStartEnded(run, accepted, now_);
  Advance(Duration(20));
  CHECK(CountActions<StopRun>() == 0);
  CHECK(CountSent<TaskEnd>(kFirst) == 0);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession that no longer hears from an entry stops its "
                 "runs, though they progress and the worker answers") {
  const bool is_entry_silent = GENERATE(true, false);
  estimate_ = Duration(10'000);
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, AcceptedOrder(), now_);
  actions_.clear();
  const TimePoint end = now_ + kPause + Duration(100);
  for (int percent = 1; now_ < end; ++percent) {
    Advance(Duration(20));
    PollOutcome outcome = AcceptedPoll();
    outcome.running.push_back({run, percent});
    AnswerPoll(outcome);
    if (!is_entry_silent) SendHeartbeats();
  }
  CAPTURE(is_entry_silent);
  CHECK((CountActions<StopRun>() > 0) == is_entry_silent);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose entry was silent for a short while lets "
                 "its run go on") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, AcceptedOrder(), now_);
  AnswerPoll(PollOutcome{});
  actions_.clear();
  Advance(Duration(500));
  SendHeartbeats();
  Advance(Duration(300));
  CHECK(CountActions<StopRun>() == 0);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose worker has left ignores announcements "
                 "of the same incarnation") {
  REQUIRE(session_.IsAccepting(now_));
  session_.OnWorkerLeft(WorkerId("w"), now_);
  WorkerAnnouncement late;
  late.id = WorkerId("w");
  late.service = ServiceName("s");
  late.capacity = Resources{32, 1024, 0};
  late.started_ms = 1;
  late.sequence = 1;
  session_.OnAnnouncement(late, now_);
  CHECK_FALSE(session_.IsAccepting(now_));
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose worker's capacity shrinks under what "
                 "runs starts nothing until it fits and uses it again when it "
                 "grows") {
  for (std::uint64_t i = 0; i < 3; ++i) {
    session_.OnStartEnded(Order(kFirst, i), AcceptedOrder(), now_);
  }
  Tick();
  CHECK(CountActions<StartRun>() == 3);
  AnnounceCapacity(16);
  Order(kFirst, 10, Duration(5000));
  Tick();
  CHECK(CountActions<StartRun>() == 3);
  PollOutcome ended = AcceptedPoll();
  ended.ended = {{1, TaskRun{TaskName("t0"), 1}, RunEnd::kDone}};
  ended.running = {{TaskRun{TaskName("t1"), 1}, 10},
                   {TaskRun{TaskName("t2"), 1}, 10}};
  AnswerPoll(ended);
  CHECK(CountActions<StartRun>() == 3);
  AnnounceCapacity(32);
  Tick();
  CHECK(CountActions<StartRun>() == 4);
}

}  // namespace
}  // namespace geranium
