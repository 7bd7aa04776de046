#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "entry/step_entry_node.h"

namespace geranium {
namespace {

/// An entry with eight workers and the routes "deadly" and "sound".
class StepEntryCrashesTest {
 protected:
  static constexpr std::uint64_t kWorkers = 8;

  StepEntryCrashesTest() : node_(Options()) {
    RouteTable table;
    table.version = 1;
    table.offset = LogOffset(1);
    for (const char* name : {"deadly", "sound"}) {
      Route route;
      route.name = name;
      route.host = "callers.example";
      route.path_prefix = std::string("/") + name + "/";
      route.service = ServiceName("s");
      route.target_latency = Duration(1000);
      table.routes.push_back(route);
    }
    node_.OnRouteTable(table, "operator", now_);
    for (std::uint64_t i = 1; i <= kWorkers; ++i) {
      node_.OnLinkUp(LinkId(i), now_);
      Hello hello;
      hello.role = ProcessRole::kAgent;
      hello.incarnation = Incarnation(i);
      Receive(LinkId(i), hello);
      WorkerCard card;
      card.id = WorkerId("w" + std::to_string(i));
      card.service = ServiceName("s");
      card.capacity = Resources{4, 1024, 0};
      card.previous_runs_ended = true;
      Receive(LinkId(i), card);
    }
    Advance(Duration(1));
    for (int i = 0; i < 8; ++i) Advance(Duration(500));
    (void)Take();
  }

  static StepEntryOptions Options() {
    StepEntryOptions options;
    options.id = EntryId("first");
    options.incarnation = Incarnation(100);
    options.link_address = "first";
    options.scheduler.incarnation = options.incarnation;
    return options;
  }

  template <class M>
  void Receive(LinkId link, const M& message) {
    node_.OnMessage(link, message, now_);
    node_.OnFrameEnd(now_);
  }

  /// All workers report themselves free.
  void Advance(Duration by) {
    now_ = now_ + by;
    for (std::uint64_t i = 1; i <= kWorkers; ++i) {
      WorkerReport report;
      report.accepting = true;
      report.free = Resources{4, 1024, 0};
      Receive(LinkId(i), report);
    }
    node_.OnTick(now_);
  }

  /// Submits a job of one task; returns the link of the agent it went to.
  std::optional<LinkId> Submit(const std::string& route) {
    const std::uint64_t number = ++jobs_;
    StepSubmission submission;
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx",
                  static_cast<unsigned long long>(number));
    submission.host = "callers.example";
    submission.path = "/" + route + "/" + id;
    submission.job.id = StepJobId(id);
    submission.caller_timeout = Duration(20'000);
    StepSpec step;
    step.size = Resources{1, 1, 0};
    step.estimate = Duration(100);
    submission.job.steps.push_back(step);
    node_.OnSubmission(CallerHandle(number), submission, now_);
    return LastOrder();
  }

  std::optional<LinkId> LastOrder() {
    order_.reset();
    std::optional<LinkId> link;
    for (const StepAction& action : Take()) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) continue;
      if (const auto* order = std::get_if<StartTask>(&send->message)) {
        link = send->link;
        order_ = *order;
      }
    }
    return link;
  }

  /// The worker of the newest order crashes shortly after starting it.
  void CrashUnder(LinkId link) {
    REQUIRE(order_);
    const StartTask order = *order_;
    Receive(link,
            WorkerCrashed{WorkerId("w"), {order.route}, {order.run.task}});
    Receive(link, TaskEnd{order.attempt, AttemptEnd::kCrashed, ""});
  }

  std::vector<StepAction> Take() {
    std::vector<StepAction> taken = node_.TakeActions();
    for (const StepAction& action : taken) {
      if (const auto* answer = std::get_if<AnswerStepJob>(&action)) {
        answers_.push_back(*answer);
      }
    }
    return taken;
  }

  void IsolateDeadlyRoute() {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      Receive(LinkId(i + 3), WorkerCrashed{WorkerId("w"), {"deadly"}, {}});
    }
    Advance(Duration(10));
    (void)Take();
  }

  TimePoint now_{1000};
  StepEntryNode node_;
  std::uint64_t jobs_ = 0;
  std::optional<StartTask> order_;
  std::vector<AnswerStepJob> answers_;
};

TEST_CASE_METHOD(StepEntryCrashesTest,
                 "StepEntryNode with a task under which two workers crash at "
                 "its start answers its job as failed and starts it no more") {
  std::optional<LinkId> link = Submit("deadly");
  REQUIRE(link);
  CrashUnder(*link);
  CHECK(answers_.empty());
  Advance(Duration(10));
  link = LastOrder();
  if (!link) {
    Advance(Duration(10));
    link = LastOrder();
  }
  REQUIRE(link);
  CrashUnder(*link);
  for (int i = 0; i < 20; ++i) Advance(Duration(100));
  CHECK_FALSE(LastOrder());
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].answer == StepAnswer::kFailed);
}

TEST_CASE_METHOD(StepEntryCrashesTest,
                 "StepEntryNode sent a job under which two workers crashed at "
                 "another entry answers it as failed and starts nothing") {
  for (std::uint64_t i = 1; i <= 2; ++i) {
    Receive(LinkId(i), WorkerCrashed{WorkerId("w"),
                                     {"deadly"},
                                     {TaskName("0000000000000001.0.0.0")}});
  }
  CHECK_FALSE(Submit("deadly"));
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].answer == StepAnswer::kFailed);
}

TEST_CASE_METHOD(StepEntryCrashesTest,
                 "StepEntryNode with a route isolated for crashes runs it on a "
                 "quarter of the workers and other routes on the rest") {
  IsolateDeadlyRoute();
  int deadly = 0;
  int sound = 0;
  for (int i = 0; i < 40; ++i) {
    if (const auto link = Submit("deadly")) {
      ++deadly;
      CHECK(link->value() <= kWorkers / 4);
    }
    if (const auto link = Submit("sound")) {
      ++sound;
      CHECK(link->value() > kWorkers / 4);
    }
  }
  CHECK(deadly > 0);
  CHECK(sound > 0);
}

TEST_CASE_METHOD(StepEntryCrashesTest,
                 "StepEntryNode with a full isolated route refuses its jobs at "
                 "once and starts none of them later") {
  IsolateDeadlyRoute();
  while (Submit("deadly")) {
  }
  CHECK(std::any_of(answers_.begin(), answers_.end(), [&](const auto& answer) {
    return answer.caller == CallerHandle(jobs_) &&
           answer.answer == StepAnswer::kRefused;
  }));
}

TEST_CASE_METHOD(StepEntryCrashesTest,
                 "StepEntryNode whose agent loses its link counts no crash") {
  const std::optional<LinkId> link = Submit("deadly");
  REQUIRE(link);
  for (int i = 0; i < 3; ++i) {
    node_.OnLinkDown(*link, now_);
    now_ = now_ + StepScheduler::kWorkerLostTimeout + Duration(1);
    node_.OnTick(now_);
  }
  (void)Take();
  CHECK(node_.scheduler().counters().crashed == 0);
  CHECK(std::none_of(answers_.begin(), answers_.end(), [](const auto& answer) {
    return answer.answer == StepAnswer::kFailed;
  }));
}

}  // namespace
}  // namespace geranium
