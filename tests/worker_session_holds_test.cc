#include "worker_session_fixture.h"

namespace geranium {
namespace {

/// A full worker whose entries wait for its cores: what each of them is told of
/// a freed one. If all are told at once, several order it and all orders but
/// one are returned.
class WorkerSessionHoldsTest : public WorkerSessionTest {
 protected:
  explicit WorkerSessionHoldsTest(Duration hold = Duration(20))
      : WorkerSessionTest(WithHold(hold)) {}

  static WorkerSessionOptions WithHold(Duration hold) {
    WorkerSessionOptions options = Options();
    options.capacity_hold = hold;
    return options;
  }

  /// The first entry's orders fill the worker, all entries are told so, and one
  /// run ends. Returns the task run that ended.
  void FreeCore(bool more_waiting) {
    more_waiting_ = more_waiting;
    for (std::uint64_t i = 1; i <= kFullWorker; ++i) {
      const TaskRun run = Order(kFirst, i);
      Tick();
      session_.OnStartEnded(run, AcceptedOrder(), now_);
      if (i == 1) first_run_ = run;
    }
    Advance(Duration(100));
    SendHeartbeats();
    REQUIRE(LastFree(kFirst) == 0);
    REQUIRE(LastFree(kSecond) == 0);
    const int to_second = CountSent<WorkerReport>(kSecond);
    PollOutcome outcome;
    outcome.ended.push_back({1, first_run_, RunEnd::kDone});
    AnswerPoll(outcome);
    REQUIRE(CountSent<WorkerReport>(kSecond) == to_second + 1);
  }

  double LastFree(LinkId link) const {
    double free = -1;
    for (const SessionAction& action : actions_) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr || send->link != link) continue;
      const auto* report = std::get_if<WorkerReport>(&send->message);
      if (report != nullptr) free = report->free.cpu;
    }
    return free;
  }

  TaskRun first_run_;
};

struct WithoutHoldsTest : WorkerSessionHoldsTest {
  WithoutHoldsTest() : WorkerSessionHoldsTest(Duration(0)) {}
};

// Guards also against a core that stays hidden since no other change makes a
// report due.
TEST_CASE_METHOD(WorkerSessionHoldsTest,
                 "WorkerSession reports a freed core to the entry that waits "
                 "for it, and to the others once the time is over") {
  FreeCore(true);
  CHECK(LastFree(kFirst) == 8);
  CHECK(LastFree(kSecond) == 0);
  const int to_first = CountSent<WorkerReport>(kFirst);
  const TimePoint end = now_ + Duration(60);
  while (now_ < end) {
    now_ = now_ + session_.TimeToNextTick(now_);
    Tick();
  }
  CHECK(LastFree(kSecond) == 8);
  CHECK(CountSent<WorkerReport>(kFirst) == to_first);
  CHECK(session_.counters().holds == 1);
  CHECK(session_.counters().holds_expired == 1);
}

// Guards against an entry that has nothing to start keeping cores from others.
TEST_CASE_METHOD(WorkerSessionHoldsTest,
                 "WorkerSession reports a freed core to all entries at once if "
                 "the entry whose run ended waits for none") {
  FreeCore(false);
  CHECK(LastFree(kFirst) == 8);
  CHECK(LastFree(kSecond) == 8);
  CHECK(session_.counters().holds == 0);
}

TEST_CASE_METHOD(WithoutHoldsTest,
                 "WorkerSession with the default settings reports a freed core "
                 "to all entries, whoever waits") {
  FreeCore(true);
  CHECK(LastFree(kFirst) == 8);
  CHECK(LastFree(kSecond) == 8);
}

// Guards against orders returned though there is room for them.
TEST_CASE_METHOD(WorkerSessionHoldsTest,
                 "WorkerSession starts another entry's order on a held core") {
  FreeCore(true);
  const int starts = CountActions<StartRun>();
  more_waiting_ = false;
  Order(kSecond, kFullWorker + 1);
  Tick();
  CHECK(CountActions<StartRun>() == starts + 1);
  CHECK(session_.in_use().cpu == 32);
}

// Guards against cores held for an entry that has died.
TEST_CASE_METHOD(WorkerSessionHoldsTest,
                 "WorkerSession shows a held core to the others when the link "
                 "to its entry is lost") {
  FreeCore(true);
  REQUIRE(LastFree(kSecond) == 0);
  session_.OnLinkDown(kFirst, now_);
  Advance(Duration(50));
  CHECK(LastFree(kSecond) == 8);
  CHECK(session_.counters().holds_expired == 0);
}

}  // namespace
}  // namespace geranium
