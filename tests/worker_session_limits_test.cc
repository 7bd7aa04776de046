#include <malloc.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "worker_session_fixture.h"

namespace geranium {
namespace {

constexpr std::size_t kMaxCalls = 8;
constexpr std::size_t kMaxBytes = 1U << 20U;

class WorkerSessionLimitsTest : public WorkerSessionTest {
 protected:
  WorkerSessionLimitsTest() : WorkerSessionTest(LimitedOptions()) {}

  static WorkerSessionOptions LimitedOptions() {
    WorkerSessionOptions options = Options();
    options.max_order_calls = kMaxCalls;
    options.max_order_bytes = kMaxBytes;
    return options;
  }

  TaskRun OrderSmall(std::uint64_t number, const SharedText& payload = {}) {
    StartTask order;
    order.attempt = AttemptId{Incarnation(kFirst.value()), number};
    order.run = TaskRun{TaskName("t" + std::to_string(number)), 1};
    order.size = Resources{0.05, 0, 0};
    order.estimate = Duration(1000);
    order.max_wait = Duration(250);
    order.payload = payload;
    session_.OnMessage(kFirst, order, now_);
    return order.run;
  }

  int CountUnanswered() const { return CountActions<StartRun>() - answered_; }

  void AnswerNextStart() {
    int index = 0;
    for (const SessionAction& action : actions_) {
      const auto* start = std::get_if<StartRun>(&action);
      if (start == nullptr || index++ < answered_) continue;
      const TaskRun run = start->run;
      ++answered_;
      session_.OnStartEnded(run, AcceptedOrder(), now_);
      return;
    }
  }

  int answered_ = 0;  ///< Starts.
};

TEST_CASE_METHOD(WorkerSessionLimitsTest,
                 "WorkerSession with many orders at once leaves calls to stops "
                 "and starts each order in its turn") {
  constexpr std::uint64_t kOrders = 40;
  for (std::uint64_t i = 1; i <= kOrders; ++i) OrderSmall(i);
  Tick();
  CHECK(CountUnanswered() < static_cast<int>(kMaxCalls));
  for (std::uint64_t i = 0; i < kOrders; ++i) {
    AnswerNextStart();
    Tick();
    CHECK(CountUnanswered() < static_cast<int>(kMaxCalls));
  }
  CHECK(CountActions<StartRun>() == static_cast<int>(kOrders));
}

TEST_CASE_METHOD(WorkerSessionLimitsTest,
                 "WorkerSession told to stop many runs sends no more stops "
                 "than it has calls, and all of them in the end") {
  constexpr std::uint64_t kOrders = 30;
  for (std::uint64_t i = 1; i <= kOrders; ++i) OrderSmall(i);
  Tick();
  for (std::uint64_t i = 0; i < kOrders; ++i) {
    AnswerNextStart();
    Tick();
  }
  for (std::uint64_t i = 1; i <= kOrders; ++i) {
    session_.OnMessage(
        kFirst, StopTask{AttemptId{Incarnation(kFirst.value()), i}}, now_);
  }
  Tick();
  CHECK(CountActions<StopRun>() == static_cast<int>(kMaxCalls));
  int answered = 0;
  std::set<TaskRun> stopped;
  for (int round = 0; round < 20; ++round) {
    std::vector<TaskRun> sent;
    int index = 0;
    for (const SessionAction& action : actions_) {
      const auto* stop = std::get_if<StopRun>(&action);
      if (stop != nullptr && index++ >= answered) sent.push_back(stop->run);
    }
    answered += static_cast<int>(sent.size());
    for (const TaskRun& run : sent) {
      stopped.insert(run);
      session_.OnStopEnded(run, AcceptedOrder(), now_);
    }
    Advance(Duration(5));
  }
  CHECK(stopped.size() == kOrders);
}

TEST_CASE_METHOD(WorkerSessionLimitsTest,
                 "WorkerSession without memory for another order returns it "
                 "and reports that it takes none") {
  const SharedText payload(std::string(100'000, 'x'));
  std::uint64_t number = 0;
  while (session_.counters().returned_for_memory == 0 && number < 100) {
    OrderSmall(++number, payload);
  }
  CHECK(number < 20);
  Advance(Duration(50));
  bool accepting = true;
  for (const SessionAction& action : actions_) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send == nullptr) continue;
    if (const auto* report = std::get_if<WorkerReport>(&send->message)) {
      accepting = report->accepting;
    }
  }
  CHECK_FALSE(accepting);
}

// Guards against an id that is read after its attempt has been freed, which
// ended an agent. Only the first few blocks that are freed keep their contents.
TEST_CASE_METHOD(WorkerSessionLimitsTest,
                 "WorkerSession told to stop queued orders says which of them "
                 "have ended") {
  constexpr std::uint64_t kOrders = 60;
  constexpr int kFreedByte = 0xa5;
  mallopt(M_PERTURB, kFreedByte);
  for (std::uint64_t i = 1; i <= kOrders; ++i) OrderSmall(i);
  Tick();
  const auto started = static_cast<std::uint64_t>(CountActions<StartRun>());
  for (std::uint64_t i = 1; i <= kOrders; ++i) {
    session_.OnMessage(
        kFirst, StopTask{AttemptId{Incarnation(kFirst.value()), i}}, now_);
  }
  Tick();
  mallopt(M_PERTURB, 0);
  std::set<AttemptId> ended;
  for (const SessionAction& action : actions_) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send == nullptr) continue;
    const auto* end = std::get_if<TaskEnd>(&send->message);
    if (end == nullptr) continue;
    CHECK(end->attempt.entry == Incarnation(kFirst.value()));
    CHECK(end->reason == "cancelled");
    ended.insert(end->attempt);
  }
  CHECK(ended.size() == kOrders - started);
}

// Guards against a payload that is kept as long as its run.
TEST_CASE_METHOD(WorkerSessionLimitsTest,
                 "WorkerSession with runs that have started holds none of "
                 "their payloads") {
  const SharedText payload(std::string(100'000, 'x'));
  for (std::uint64_t i = 1; i <= 100; ++i) {
    OrderSmall(i, payload);
    Tick();
    AnswerNextStart();
  }
  CHECK(CountActions<StartRun>() == 100);
  CHECK(session_.counters().returned_for_memory == 0);
}

}  // namespace
}  // namespace geranium
