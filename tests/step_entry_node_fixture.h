#ifndef GERANIUM_TESTS_STEP_ENTRY_NODE_FIXTURE_H_
#define GERANIUM_TESTS_STEP_ENTRY_NODE_FIXTURE_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "entry/step_entry_node.h"

namespace geranium {

/// An entry that is linked to two others and to the agent of one worker, and no
/// longer counts as just started.
class StepEntryNodeTest {
 protected:
  explicit StepEntryNodeTest(Incarnation own = Incarnation(1),
                             Duration age = Duration(1600))
      : node_(Options(own)) {
    RouteTable table;
    table.version = 1;
    table.offset = LogOffset(1);
    Route route;
    route.name = "r";
    route.host = kHost;
    route.path_prefix = "/";
    route.service = ServiceName("s");
    route.target_latency = Duration(1000);
    table.routes.push_back(route);
    node_.OnRouteTable(table, "operator", now_);
    LinkEntry(kSecond);
    LinkEntry(kThird);
    Run(age);
    LinkAgent(kAgent);
    actions_.clear();
  }

  static StepEntryOptions Options(Incarnation own) {
    StepEntryOptions options;
    options.id = EntryId("first");
    options.incarnation = own;
    options.link_address = "first";
    options.scheduler.incarnation = options.incarnation;
    return options;
  }

  static Incarnation IncarnationAt(LinkId link) {
    return Incarnation(link.value());
  }

  void LinkEntry(LinkId link) {
    node_.OnLinkUp(link, now_);
    Hello hello;
    hello.role = ProcessRole::kEntry;
    hello.incarnation = IncarnationAt(link);
    hello.link_address = "entry-" + std::to_string(link.value());
    Receive(link, hello);
  }

  static WorkerCard Card() {
    WorkerCard card;
    card.id = WorkerId("w");
    card.service = ServiceName("s");
    card.capacity = Resources{32, 1024, 0};
    card.previous_runs_ended = true;
    return card;
  }

  void LinkAgent(LinkId link) {
    node_.OnLinkUp(link, now_);
    Hello hello;
    hello.role = ProcessRole::kAgent;
    hello.incarnation = IncarnationAt(link);
    Receive(link, hello);
    Receive(link, Card());
    ReportFreeWorker(link);
  }

  void ReportFreeWorker(LinkId link = kAgent) {
    WorkerReport report;
    report.accepting = true;
    report.free = Resources{32, 1024, 0};
    Receive(link, report);
  }

  template <class M>
  void Receive(LinkId link, const M& message) {
    node_.OnMessage(link, message, now_);
    node_.OnFrameEnd(now_);
    Collect();
  }

  void Submit(std::uint64_t caller) {
    StepSubmission submission;
    submission.host = kHost;
    submission.path = "/" + job_.value();
    submission.job.id = job_;
    StepSpec step;
    step.count = tasks_;
    step.size = Resources{1, 1, 0};
    step.estimate = Duration(100);
    submission.job.steps.push_back(step);
    node_.OnSubmission(CallerHandle(caller), submission, now_);
    Collect();
  }

  /// Ends the task that was ordered last.
  void EndTask(AttemptEnd end) {
    const auto orders = Sent<StartTask>(kAgent);
    REQUIRE_FALSE(orders.empty());
    Receive(kAgent, TaskEnd{orders.back().attempt, end, ""});
  }

  void Collect() {
    for (StepAction& action : node_.TakeActions()) {
      actions_.push_back(std::move(action));
    }
  }

  void Advance(Duration by) {
    now_ = now_ + by;
    node_.OnTick(now_);
    Collect();
  }

  /// Time passes while the others are heard, and the last run goes on.
  void Run(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      for (const LinkId link : {kSecond, kThird, kAgent}) {
        Receive(link,
                Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
      }
      Advance(Duration(100));
    }
  }

  template <class M>
  std::vector<M> Sent(LinkId link) const {
    std::vector<M> found;
    for (const StepAction& action : actions_) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr || send->link != link) continue;
      if (const auto* typed = std::get_if<M>(&send->message)) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  std::optional<StepAnswer> AnswerTo(std::uint64_t caller) const {
    for (const StepAction& action : actions_) {
      const auto* answer = std::get_if<AnswerStepJob>(&action);
      if (answer != nullptr && answer->caller == CallerHandle(caller)) {
        return answer->answer;
      }
    }
    return std::nullopt;
  }

  static constexpr char kHost[] = "callers.example";
  inline static const LinkId kSecond{2};
  inline static const LinkId kThird{3};
  inline static const LinkId kAgent{10};
  const StepJobId job_{"0000000000000001"};
  std::uint32_t tasks_ = 1;  ///< Of the next jobs.
  TimePoint now_{1000};
  StepEntryNode node_;
  std::vector<StepAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_TESTS_STEP_ENTRY_NODE_FIXTURE_H_
