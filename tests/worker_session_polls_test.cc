#include "worker_session_fixture.h"

namespace geranium {
namespace {

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

// Guards against a run that is done being started again.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession with more ends than its worker lists at once "
                 "waits for the rest of them") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, AcceptedOrder(), now_);
  Advance(Duration(5));
  AnswerPoll(PollOutcome{});  // Sent before the start was accepted.
  PollOutcome partial;
  partial.ended.push_back({1, TaskRun{TaskName("other"), 1}, RunEnd::kDone});
  partial.lists_all_ends = false;
  AnswerPoll(partial);
  CHECK(CountSent<TaskEnd>(kFirst) == 0);
  PollOutcome rest;
  rest.ended.push_back({2, run, RunEnd::kDone});
  AnswerPoll(rest);
  CHECK(CountSent<TaskEnd>(kFirst) == 1);
  CHECK(session_.counters().done == 1);
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

TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession shown a run by an answer that was overtaken by "
                 "the one with its end goes on starting orders") {
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, AcceptedOrder(), now_);
  const TaskRun in_doubt = Order(kFirst, 2);
  Tick();
  session_.OnStartEnded(in_doubt, OrderOutcome{}, now_);
  const std::uint64_t long_poll = polls_.back().number;
  session_.OnStopEnded(in_doubt, AcceptedOrder(), now_);
  Tick();
  PollOutcome newer = AcceptedPoll();
  newer.ended.push_back({1, run, RunEnd::kDone});
  session_.OnPollEnded(polls_.back().number, newer, now_);
  Tick();
  actions_.clear();
  PollOutcome overtaken = AcceptedPoll();
  overtaken.running.push_back({run, 90});
  session_.OnPollEnded(long_poll, overtaken, now_);
  (void)Order(kSecond, 3);
  Tick();
  CHECK(CountActions<StopRun>() == 0);
  CHECK(CountActions<StartRun>() == 1);
}

// Guards against a run that outlasts the time after which other entries count
// it as ended: the lease is the whole worker's, and is never shortened.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession that starts an order whose entry has been "
                 "silent for a while has given its worker no longer lease than "
                 "that entry's runs may have") {
  const bool is_queued = GENERATE(false, true);
  CAPTURE(is_queued);
  const TimePoint last_alive = now_;
  const auto hear_second = [&] {
    session_.OnMessage(
        kSecond, Heartbeat{now_, now_, Version(0), std::nullopt, std::nullopt},
        now_);
  };
  std::vector<TaskRun> running;
  PollOutcome listing;
  if (is_queued) {
    estimate_ = Duration(10'000);
    for (std::uint64_t i = 1; i <= kFullWorker; ++i) {
      running.push_back(Order(kSecond, i));
    }
    Tick();
    for (const TaskRun& run : running) {
      session_.OnStartEnded(run, AcceptedOrder(), now_);
    }
  }
  std::int64_t latest = 0;
  const auto answer_poll = [&] {
    if (polls_.back().lease_until_ms) {
      latest = std::max(latest, *polls_.back().lease_until_ms);
    }
    AnswerPoll(listing);
  };
  const TimePoint order_at = last_alive + WorkerSession::kEntryTimeout;
  for (int percent = 1; now_ < order_at - Duration(10); ++percent) {
    Advance(Duration(10));
    hear_second();
    listing.running.clear();
    for (const TaskRun& run : running) {
      listing.running.push_back({run, percent});
    }
    answer_poll();
    if (is_queued && now_ == order_at - Duration(30)) {
      Order(kFirst, 10, Duration(250));
    }
  }
  if (is_queued) {
    const TaskRun done = running.back();
    running.pop_back();
    listing.running.pop_back();
    listing.ended.push_back({1, done, RunEnd::kDone});
    answer_poll();
  } else {
    Order(kFirst, 10);
  }
  Tick();
  const bool started = std::any_of(
      actions_.begin(), actions_.end(), [](const SessionAction& action) {
        const auto* start = std::get_if<StartRun>(&action);
        return start != nullptr && start->run.task == TaskName("t10");
      });
  const TimePoint limit = last_alive + WorkerSession::kLongestEntrySilence;
  CHECK((!started || latest <= limit.ms()));
}

// Guards against runs given up and started elsewhere while they go on: a call
// computed with the earlier clock asks for the longest lease there is.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession that stood still after its worker's restart "
                 "keeps its runs until the longest lease has ended") {
  Advance(Duration(20));
  PollOutcome restarted = AcceptedPoll();
  restarted.started_ms = 2;
  restarted.clock_ms = 5;
  const auto answer_poll = [&] {
    session_.OnPollEnded(polls_.back().number, restarted, now_);
    session_.OnEventsHandled(now_);
    Tick();
  };
  answer_poll();  // Sent with the earlier clock.
  WorkerAnnouncement announcement;
  announcement.id = WorkerId("w");
  announcement.service = ServiceName("s");
  announcement.capacity = Resources{32, 1024, 0};
  announcement.started_ms = 2;
  announcement.clock_ms = 5;
  session_.OnAnnouncement(announcement, now_);
  answer_poll();
  SendHeartbeats();
  const TaskRun run = Order(kFirst, 1);
  Tick();
  session_.OnStartEnded(run, AcceptedOrder(), now_);
  REQUIRE(session_.in_use().cpu == 8);
  const Duration limit = Options().longest_lease;
  REQUIRE(limit - Duration(100) > WorkerSession::kLeaseDuration);
  now_ = now_ + limit - Duration(100);
  Tick();
  CHECK(CountSent<TaskEnd>(kFirst) == 0);
  CHECK(session_.in_use().cpu == 8);
}

// Guards against a lease computed with the clock of an incarnation that is
// gone.
TEST_CASE_METHOD(WorkerSessionTest,
                 "WorkerSession that reads an answer of its worker's earlier "
                 "incarnation after the new one's announcement keeps to the "
                 "new clock") {
  const bool is_start = GENERATE(false, true);
  CAPTURE(is_start);
  const TaskRun run = Order(kFirst, 1);
  Tick();
  const std::uint64_t early_poll = polls_.back().number;
  constexpr std::int64_t kNewClock = 5;
  WorkerAnnouncement announcement;
  announcement.id = WorkerId("w");
  announcement.service = ServiceName("s");
  announcement.capacity = Resources{32, 1024, 0};
  announcement.started_ms = 2;
  announcement.clock_ms = kNewClock;
  session_.OnAnnouncement(announcement, now_);
  OrderOutcome started = AcceptedOrder();
  started.clock_ms = now_.ms();
  PollOutcome early = AcceptedPoll();
  early.clock_ms = now_.ms();
  if (is_start) session_.OnStartEnded(run, started, now_);
  session_.OnPollEnded(early_poll, is_start ? PollOutcome{} : early, now_);
  session_.OnEventsHandled(now_);
  Advance(Duration(40));
  REQUIRE(polls_.back().number > early_poll);
  REQUIRE(polls_.back().lease_until_ms.has_value());
  CHECK(*polls_.back().lease_until_ms <=
        kNewClock + 40 + WorkerSession::kLeaseDuration.ms());
}

}  // namespace
}  // namespace geranium
