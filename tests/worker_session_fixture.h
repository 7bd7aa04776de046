#ifndef GERANIUM_TESTS_WORKER_SESSION_FIXTURE_H_
#define GERANIUM_TESTS_WORKER_SESSION_FIXTURE_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "worker/worker_session.h"

namespace geranium {

/// A session with a worker of 32 cores, linked to two entries.
class WorkerSessionTest {
 protected:
  explicit WorkerSessionTest(WorkerSessionOptions options = Options())
      : session_(std::move(options)) {
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
      hello.name = "entry-" + std::to_string(link.value());
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
    order.more_waiting = more_waiting_;
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

  /// The fields of the last log line of an event; empty if there is none.
  std::map<std::string, std::string> LastLogged(const std::string& event) {
    std::map<std::string, std::string> fields;
    for (const SessionAction& action : actions_) {
      const auto* message = std::get_if<LogMessage>(&action);
      if (message == nullptr || message->event != event) continue;
      fields = {message->fields.begin(), message->fields.end()};
    }
    return fields;
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
  Duration estimate_{100};     ///< Of the next orders.
  bool more_waiting_ = false;  ///< In the next orders.
  WorkerSession session_;
  std::uint64_t sequence_ = 0;  ///< Of the announcements.
  std::vector<SessionAction> actions_;
  std::vector<PollRuns> polls_;
};

}  // namespace geranium

#endif  // GERANIUM_TESTS_WORKER_SESSION_FIXTURE_H_
