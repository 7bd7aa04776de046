#include "worker/worker_session.h"

#include <algorithm>
#include <catch2/catch.hpp>
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

  const StartRun& LastStart() const {
    const StartRun* last = nullptr;
    for (const SessionAction& action : actions_) {
      if (const auto* start = std::get_if<StartRun>(&action)) last = start;
    }
    REQUIRE(last != nullptr);
    return *last;
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
                 "WorkerSession whose worker has restarted starts nothing "
                 "before the new incarnation has announced its capacity") {
  Advance(Duration(50));
  PollOutcome restarted = AcceptedPoll();
  restarted.started_ms = 2;
  for (int i = 0; i < 2; ++i) {  // The first shows the restart.
    session_.OnPollEnded(polls_.back().number, restarted, now_);
    session_.OnEventsHandled(now_);
    Tick();
  }
  SendHeartbeats();
  CHECK_FALSE(session_.IsAccepting(now_));
  WorkerAnnouncement announcement;
  announcement.id = WorkerId("w");
  announcement.service = ServiceName("s");
  announcement.capacity = Resources{16, 1024, 0};
  announcement.started_ms = 2;
  session_.OnAnnouncement(announcement, now_);
  CHECK(session_.IsAccepting(now_));
  for (std::uint64_t i = 1; i <= kFullWorker; ++i) Order(kFirst, i);
  Tick();
  CHECK(CountActions<StartRun>() == kFullWorker / 2);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession that gave up a start in doubt with its silent "
                 "worker's lease fences it off before it starts anything") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  const std::uint64_t token = LastStart().fencing_token;
  session_.OnStartEnded(run, OrderOutcome{}, now_);
  const TimePoint end = now_ + WorkerSession::kLeaseDuration * 2;
  while (now_ < end) {
    Advance(Duration(50));
    SendHeartbeats();
    session_.OnPollEnded(polls_.back().number, PollOutcome{}, now_);
  }
  REQUIRE(CountSent<TaskEnd>(kFirst) == 1);
  Advance(Duration(50));
  CHECK(polls_.back().fencing_token > token);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession that does not know yet what runs at its worker "
                 "renews no lease") {
  WorkerSession restarted(Options());
  WorkerAnnouncement worker;
  worker.id = WorkerId("w");
  worker.service = ServiceName("s");
  worker.capacity = Resources{32, 1024, 0};
  worker.started_ms = 1;
  restarted.OnAnnouncement(worker, now_);
  restarted.OnTick(now_);
  int polls = 0;
  for (const SessionAction& action : restarted.TakeActions()) {
    const auto* poll = std::get_if<PollRuns>(&action);
    if (poll == nullptr) continue;
    ++polls;
    CHECK_FALSE(poll->lease_until_ms.has_value());
  }
  CHECK(polls == 1);
}

// The poll that follows an accepted stop counted as sent a millisecond later.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose run starts in the millisecond of a poll "
                 "that does not list it yet counts the run") {
  const TaskRun in_doubt = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(in_doubt, OrderOutcome{}, now_);
  const TaskRun accepted = Order(kSecond, 2);
  Tick();
  session_.OnStopEnded(in_doubt, AcceptedOrder(), now_);
  Tick();
  const std::uint64_t early_poll = polls_.back().number;
  session_.OnStartEnded(accepted, AcceptedOrder(), now_);
  session_.OnPollEnded(early_poll, AcceptedPoll(), now_);
  Tick();
  CHECK(CountSent<TaskEnd>(kFirst) == 1);
  CHECK(CountSent<TaskEnd>(kSecond) == 0);
  CHECK(session_.in_use().cpu == 8);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession resumed after a pause by the answer to a poll "
                 "starts none of the orders that were queued before") {
  std::vector<TaskRun> runs;
  for (std::uint64_t i = 1; i <= kFullWorker + 1; ++i) {
    runs.push_back(Order(kFirst, i));
  }
  Tick();
  for (int i = 0; i < kFullWorker; ++i) {
    session_.OnStartEnded(runs[i], AcceptedOrder(), now_);
  }
  Advance(Duration(5));
  actions_.clear();
  now_ = now_ + kPause;
  PollOutcome outcome;
  outcome.ended.push_back({1, runs[0], RunEnd::kDone});
  AnswerPoll(outcome);
  CHECK(CountActions<StartRun>() == 0);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose worker restarts after it has left takes "
                 "orders though a poll shows the restart first") {
  session_.OnWorkerLeft(WorkerId("w"), now_);
  Advance(Duration(50));
  PollOutcome restarted = AcceptedPoll();
  restarted.started_ms = 2;
  const auto answer_poll = [&] {
    session_.OnPollEnded(polls_.back().number, restarted, now_);
    session_.OnEventsHandled(now_);
    Tick();
  };
  answer_poll();
  answer_poll();
  WorkerAnnouncement announcement;
  announcement.id = WorkerId("w");
  announcement.service = ServiceName("s");
  announcement.capacity = Resources{32, 1024, 0};
  announcement.started_ms = 2;
  session_.OnAnnouncement(announcement, now_);
  answer_poll();
  CHECK(session_.IsAccepting(now_));
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession with a start in doubt whose stop is accepted "
                 "ends it by a poll sent after that and by no earlier one") {
  const TaskRun in_doubt = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(in_doubt, OrderOutcome{}, now_);
  Tick();
  const std::uint64_t early_poll = polls_.back().number;
  session_.OnStopEnded(in_doubt, AcceptedOrder(), now_);
  Tick();
  const std::uint64_t later_poll = polls_.back().number;
  REQUIRE(later_poll != early_poll);
  session_.OnPollEnded(early_poll, AcceptedPoll(), now_);
  CHECK(session_.in_use().cpu == 8);
  session_.OnPollEnded(later_poll, AcceptedPoll(), now_);
  CHECK(session_.in_use().cpu == 0);
}

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession whose unanswered start a poll has shown to run "
                 "counts it though an earlier poll does not list it") {
  const TaskRun in_doubt = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(in_doubt, OrderOutcome{}, now_);
  const TaskRun starting = Order(kSecond, 2);
  Tick();
  const std::uint64_t early_poll = polls_.back().number;
  session_.OnStopEnded(in_doubt, AcceptedOrder(), now_);
  Tick();
  const std::uint64_t later_poll = polls_.back().number;
  REQUIRE(later_poll != early_poll);
  PollOutcome later = AcceptedPoll();
  later.running.push_back({starting, 1});
  session_.OnPollEnded(later_poll, later, now_);
  session_.OnPollEnded(early_poll, AcceptedPoll(), now_);
  Tick();
  CHECK(CountSent<TaskEnd>(kSecond) == 0);
  CHECK(session_.in_use().cpu == 8);
}

}  // namespace
}  // namespace geranium
