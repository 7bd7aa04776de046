#include <catch2/catch.hpp>

#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

class StepEntryLimitsTest : public StepEntryNodeTest {};

TEST_CASE_METHOD(StepEntryLimitsTest,
                 "StepEntryNode with tasks that ask for nothing orders as many "
                 "as the worker has smallest shares") {
  StepSubmission submission;
  submission.host = kHost;
  submission.path = "/" + job_.value();
  submission.job.id = job_;
  submission.job.steps.resize(1);
  submission.job.steps[0].count = 100'000;
  node_.OnSubmission(CallerHandle(1), submission, now_);
  Collect();
  for (int i = 0; i < 5; ++i) Receive(kAgent, Heartbeat{});
  const StepSchedulerOptions options = Options(Incarnation(1)).scheduler;
  const auto orders = Sent<StartTask>(kAgent);
  CHECK(orders.size() > 500);
  // Some are queued at the worker, as they are urgent.
  CHECK(static_cast<double>(orders.size()) * options.min_task_cpu <=
        Card().capacity.cpu * (1 + options.placement.urgent_ahead) + 0.001);
  for (const StartTask& order : orders) {
    CHECK(order.payload.IsCopyOf(orders.front().payload));
  }
}

TEST_CASE_METHOD(StepEntryLimitsTest,
                 "StepEntryNode with a step that limits its tasks at a worker "
                 "orders the next one when one of them has ended") {
  StepSubmission submission;
  submission.host = kHost;
  submission.path = "/" + job_.value();
  submission.job.id = job_;
  submission.job.steps.resize(1);
  submission.job.steps[0].count = 5;
  submission.job.steps[0].max_per_worker = 2;
  node_.OnSubmission(CallerHandle(1), submission, now_);
  Collect();
  CHECK(Sent<StartTask>(kAgent).size() == 2);
  EndTask(AttemptEnd::kDone);
  CHECK(Sent<StartTask>(kAgent).size() == 3);
  EndTask(AttemptEnd::kNotStarted);
  CHECK(Sent<StartTask>(kAgent).size() == 4);
}

}  // namespace
}  // namespace geranium
