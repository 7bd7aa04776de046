#include "worker/worker_session.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace geranium {
namespace {

/// A session with a worker of 32 cores, linked to two entries.
class WorkerSessionTest {
 protected:
  WorkerSessionTest() : session_(Options()) {
    WorkerAnnouncement worker;
    worker.id = WorkerId("w");
    worker.service = ServiceName("s");
    worker.capacity = Resources{32, 1024, 0};
    worker.started_ms = 1;
    session_.OnAnnouncement(worker, now_);
    for (const LinkId link : {kFirst, kSecond}) {
      session_.OnLinkUp(link, now_);
      Hello hello;
      hello.role = ProcessRole::kEntry;
      hello.incarnation = Incarnation(link.value());
      hello.link_address = "entry-" + std::to_string(link.value());
      session_.OnMessage(link, hello, now_);
    }
    Tick();
    AnswerPoll(PollOutcome{});
    Tick();
    SendHeartbeats();
    (void)session_.TakeActions();
  }

  static WorkerSessionOptions Options() {
    WorkerSessionOptions options;
    options.name = "agent";
    options.incarnation = Incarnation(100);
    return options;
  }

  void SendHeartbeats() {
    for (const LinkId link : {kFirst, kSecond}) {
      session_.OnMessage(
          link, Heartbeat{now_, now_, Version(0), std::nullopt, std::nullopt},
          now_);
    }
  }

  void Tick() {
    session_.OnTick(now_);
    for (SessionAction& action : session_.TakeActions()) {
      if (const auto* poll = std::get_if<PollRuns>(&action)) {
        polls_.push_back(*poll);
      }
      actions_.push_back(std::move(action));
    }
  }

  void Advance(Duration by) {
    for (const TimePoint end = now_ + by; now_ < end;) {
      now_ = now_ + Duration(1);
      Tick();
    }
  }

  void AnswerPoll(PollOutcome outcome) {
    REQUIRE_FALSE(polls_.empty());
    outcome.reply = OrderReply::kAccepted;
    outcome.started_ms = 1;
    outcome.clock_ms = now_.ms();
    session_.OnPollEnded(polls_.back().number, outcome, now_);
    session_.OnEventsHandled(now_);
    Tick();
  }

  void AnnounceCapacity(double cpu) {
    WorkerAnnouncement worker;
    worker.id = WorkerId("w");
    worker.service = ServiceName("s");
    worker.capacity = Resources{cpu, 1024, 0};
    worker.started_ms = 1;
    worker.sequence = ++sequence_;
    session_.OnAnnouncement(worker, now_);
  }

  void RefusePoll() {
    REQUIRE_FALSE(polls_.empty());
    PollOutcome refused;
    refused.reply = OrderReply::kConnectionRefused;
    session_.OnPollEnded(polls_.back().number, refused, now_);
    session_.OnEventsHandled(now_);
    Tick();
  }

  static OrderOutcome AcceptedOrder() {
    OrderOutcome outcome;
    outcome.reply = OrderReply::kAccepted;
    return outcome;
  }

  static PollOutcome AcceptedPoll() {
    PollOutcome outcome;
    outcome.reply = OrderReply::kAccepted;
    outcome.started_ms = 1;
    return outcome;
  }

  TaskRun Order(LinkId link, std::uint64_t number,
                Duration max_wait = Duration(40)) {
    StartTask order;
    order.attempt = AttemptId{Incarnation(link.value()), number};
    order.run = TaskRun{TaskName("t" + std::to_string(number)), 1};
    order.size = Resources{8, 1, 0};
    order.estimate = estimate_;
    order.max_wait = max_wait;
    session_.OnMessage(link, order, now_);
    return order.run;
  }

  template <class Action>
  int CountActions() const {
    return static_cast<int>(std::count_if(
        actions_.begin(), actions_.end(), [](const SessionAction& action) {
          return std::holds_alternative<Action>(action);
        }));
  }

  template <class M>
  int CountSent(LinkId link) const {
    int count = 0;
    for (const SessionAction& action : actions_) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send != nullptr && send->link == link &&
          std::holds_alternative<M>(send->message)) {
        ++count;
      }
    }
    return count;
  }

  /// The permission of an entry to run tasks expires within it, leases do not.
  static constexpr Duration kPause{720};
  static constexpr int kFullWorker = 4;
  inline static const LinkId kFirst{1};
  inline static const LinkId kSecond{2};

  TimePoint now_{1000};
  Duration estimate_{100};  ///< Of the next orders.
  WorkerSession session_;
  std::uint64_t sequence_ = 0;  ///< Of the announcements.
  std::vector<SessionAction> actions_;
  std::vector<PollRuns> polls_;
};

// Guards against a loop of refused connections while a worker is down, which
// took most of the agent's processor time.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession with polls that fail at once, they are not "
                 "repeated at once") {
  const std::size_t before = polls_.size();
  const TimePoint end = now_ + Duration(300);
  while (now_ < end) {
    Advance(Duration(1));
    if (polls_.empty()) continue;
    session_.OnPollEnded(polls_.back().number, PollOutcome{}, now_);
    session_.OnEventsHandled(now_);
  }
  CHECK(polls_.size() - before >= 5);
  CHECK(polls_.size() - before <= 300 / 30 + 1);
}

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
                 "WorkerSession with nothing to do is next due at a heartbeat, "
                 "not at every millisecond") {
  Advance(Duration(50));
  AnswerPoll(PollOutcome{});
  CHECK(session_.TimeToNextTick(now_) > Duration(20));
  CHECK(session_.TimeToNextTick(now_) <=
        WorkerSession::kHeartbeatInterval + Duration(1));
}

// The entry gave the order up while the agent stood still: it counts the runs
// of a silent agent as ended and may have placed the task elsewhere.
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

// Its entry counts these runs as ended once it has heard nothing for longer.
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

// A restarted agent may be sent an announcement that was under way when its
// worker shut down.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession announced a worker that answers no poll takes "
                 "no orders for it") {
  WorkerSession restarted(Options());
  WorkerAnnouncement worker;
  worker.id = WorkerId("w");
  worker.service = ServiceName("s");
  worker.capacity = Resources{32, 1024, 0};
  worker.started_ms = 1;
  restarted.OnAnnouncement(worker, now_);
  for (int i = 0; i < 100; ++i) {
    now_ = now_ + Duration(10);
    restarted.OnTick(now_);
    CHECK_FALSE(restarted.IsAccepting(now_));
  }
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

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose worker refuses connections reports a "
                 "crash under what runs and accepts nothing") {
  session_.OnStartEnded(Order(kFirst, 1), AcceptedOrder(), now_);
  Advance(Duration(100));
  SendHeartbeats();
  session_.OnStartEnded(Order(kFirst, 2), AcceptedOrder(), now_);
  session_.OnStartEnded(Order(kFirst, 3), OrderOutcome{}, now_);
  Advance(Duration(5));
  RefusePoll();
  CHECK(CountSent<WorkerCrashed>(kFirst) == 1);
  CHECK(CountSent<WorkerCrashed>(kSecond) == 1);
  CHECK_FALSE(session_.IsAccepting(now_));
  CHECK(CountSent<TaskEnd>(kFirst) == 0);
  Advance(Duration(900));
  RefusePoll();
  CHECK(CountSent<WorkerCrashed>(kFirst) == 1);
  std::map<std::uint64_t, TaskEnd> ends;
  std::vector<TaskName> suspects;
  for (const SessionAction& action : actions_) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send == nullptr || send->link != kFirst) continue;
    if (const auto* end = std::get_if<TaskEnd>(&send->message)) {
      ends[end->attempt.number] = *end;
    }
    if (const auto* crash = std::get_if<WorkerCrashed>(&send->message)) {
      suspects = crash->suspects;
    }
  }
  REQUIRE(ends.size() == 3);
  CHECK(ends[1].end == AttemptEnd::kCrashed);
  CHECK(ends[2].end == AttemptEnd::kCrashed);
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0] == TaskName("t2"));
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession linked to an entry that starts after a crash "
                 "tells it of the crash once") {
  session_.OnStartEnded(Order(kFirst, 1), AcceptedOrder(), now_);
  Advance(Duration(5));
  RefusePoll();
  const LinkId restarted(7);
  Hello hello;
  hello.role = ProcessRole::kEntry;
  hello.incarnation = Incarnation(70);
  hello.link_address = "entry-7";
  for (int i = 0; i < 2; ++i) {
    session_.OnLinkUp(restarted, now_);
    session_.OnMessage(restarted, hello, now_);
    Advance(Duration(50));
    session_.OnLinkDown(restarted, now_);
  }
  CHECK(CountSent<WorkerCrashed>(restarted) == 1);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose worker is silent reports no crash") {
  session_.OnStartEnded(Order(kFirst, 1), AcceptedOrder(), now_);
  Advance(Duration(1500));
  CHECK(CountActions<StopRun>() + CountSent<TaskEnd>(kFirst) > 0);
  CHECK(CountSent<WorkerCrashed>(kFirst) == 0);
}

}  // namespace
}  // namespace geranium
