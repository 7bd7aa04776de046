#include <catch2/catch.hpp>
#include <cstdio>
#include <set>

#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

class StepEntryLimitsTest : public StepEntryNodeTest {
 protected:
  static StepJobId JobNumber(int number) {
    char digits[17];
    (void)std::snprintf(digits, sizeof(digits), "%016x", number);
    return StepJobId(digits);
  }
};

TEST_CASE_METHOD(StepEntryLimitsTest,
                 "StepEntryNode asked again to cancel a job tells the others "
                 "once and keeps it once") {
  Submit(1);
  const std::size_t known = node_.known_jobs();
  for (int i = 0; i < 100; ++i) CHECK(node_.CancelJob(job_, now_));
  Collect();
  CHECK(Sent<JobsCancelled>(kSecond).size() == 1);
  CHECK(Sent<JobsCancelled>(kThird).size() == 1);
  CHECK(node_.known_jobs() <= known + 2);
}

// What was announced last is most likely still run somewhere.
TEST_CASE_METHOD(StepEntryLimitsTest,
                 "StepEntryNode told of more jobs than it can remember forgets "
                 "those announced the longest ago") {
  const std::size_t limit = Options(Incarnation(1)).max_known_jobs;
  JobsAccepted accepted;
  for (std::size_t i = 0; i <= limit; ++i) {
    accepted.jobs.push_back(JobNumber(static_cast<int>(i) + 100));
  }
  Receive(kSecond, accepted);
  CHECK(node_.known_jobs() <= limit);
  CHECK(node_.known_jobs_forgotten() == 1);
  CHECK_FALSE(node_.CancelJob(accepted.jobs.front(), now_));
  CHECK(node_.CancelJob(accepted.jobs.back(), now_));
}

TEST_CASE_METHOD(StepEntryLimitsTest,
                 "StepEntryNode linked to an entry lists many cancelled jobs "
                 "in small messages") {
  constexpr std::size_t kJobs = 2500;
  JobsCancelled cancelled;
  for (std::size_t i = 0; i < kJobs; ++i) {
    cancelled.jobs.push_back(JobNumber(static_cast<int>(i)));
  }
  Receive(kThird, cancelled);
  node_.OnLinkDown(kSecond, now_);
  Collect();
  actions_.clear();
  LinkEntry(kSecond);
  std::set<StepJobId> told;
  for (const JobsCancelled& message : Sent<JobsCancelled>(kSecond)) {
    CHECK(message.jobs.size() <= 1000);
    told.insert(message.jobs.begin(), message.jobs.end());
  }
  CHECK(told.size() == kJobs);
}

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
