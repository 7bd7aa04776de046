#include "worker_session_fixture.h"

namespace geranium {
namespace {

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
