#include "entry/job_queue.h"

#include <catch2/catch.hpp>
#include <map>

#include "entry/late_job_policy.h"

namespace geranium {
namespace {

OpenStepJob WaitingJob(JobNumber number, int priority, TimePoint latest_start,
                       double cpu = 1) {
  OpenStepJob job;
  job.number = number;
  job.route.priority = priority;
  job.deadlines.latest_start = latest_start;
  StepSpec step;
  step.size.cpu = cpu;
  step.estimate = Duration(100);
  job.spec.steps.push_back(step);
  StepProgress progress;
  progress.tasks.resize(1);
  progress.waiting = 1;
  job.steps.push_back(progress);
  job.waiting = 1;
  return job;
}

/// Large jobs of the lowest priority beside a steady flow of small ones while
/// the workers are full: with strict priority the large ones never start.
class JobQueueTest {
 protected:
  JobQueue Fill(QueueOrder order) {
    JobQueue queue(order);
    Add(queue, WaitingJob(1, 2, TimePoint(1300)));
    Add(queue, WaitingJob(2, 1, TimePoint(1090)));
    Add(queue, WaitingJob(3, 1, TimePoint(1400)));
    Add(queue, WaitingJob(4, 0, TimePoint(1500)));
    return queue;
  }

  void Add(JobQueue& queue, const OpenStepJob& job) {
    queue.Insert(jobs_.emplace(job.number, job).first->second);
  }

  std::map<JobNumber, OpenStepJob> jobs_;
};

TEST_CASE_METHOD(
    JobQueueTest,
    "JobQueue by priority places the more urgent, then the older") {
  const JobQueue queue = Fill(QueueOrder::kPriority);
  CHECK(queue.Jobs() == std::vector<JobNumber>{4, 2, 3, 1});
}

// Guards against large jobs that starve behind newer small ones.
TEST_CASE_METHOD(JobQueueTest,
                 "JobQueue by latest start places urgent jobs, then those that "
                 "can wait least") {
  const JobQueue queue = Fill(QueueOrder::kLatestStart);
  CHECK(queue.Jobs() == std::vector<JobNumber>{4, 2, 1, 3});
}

// Guards against late jobs that delay those that can still be in time.
TEST_CASE_METHOD(JobQueueTest, "JobQueue with late jobs places them last") {
  for (const auto order : {QueueOrder::kPriority, QueueOrder::kLatestStart}) {
    jobs_.clear();
    JobQueue queue = Fill(order);
    queue.MarkLate(jobs_.at(4));
    queue.MarkLate(jobs_.at(2));
    CHECK(queue.Jobs().at(2) == 4);
    CHECK(queue.LateJobs() == std::vector<JobNumber>{4, 2});
    CHECK(queue.has_jobs_in_time());
    queue.Erase(jobs_.at(1));
    queue.Erase(jobs_.at(3));
    CHECK_FALSE(queue.has_jobs_in_time());
  }
}

// Guards against jobs refused for work that is placed after them.
TEST_CASE_METHOD(JobQueueTest,
                 "JobQueue estimates the wait from what is placed before") {
  const JobQueue queue = Fill(QueueOrder::kLatestStart);
  const OpenStepJob urgent = WaitingJob(5, 0, TimePoint(1001));
  const Backlog first = queue.EstimateBacklog(urgent, jobs_, 2);
  CHECK(first.in_time == Duration(50));
  CHECK(first.total == Duration(200));
  const OpenStepJob last = WaitingJob(6, 1, TimePoint(9000));
  CHECK(queue.EstimateBacklog(last, jobs_, 2).in_time == Duration(200));
}

// ---- late jobs, under a load above the capacity that lasts for seconds

constexpr TimePoint kBegin{1000};

// Guards against refusals in a peak that passes.
TEST_CASE("LateJobPolicy under a short peak is not under pressure") {
  LateJobPolicy policy;
  CHECK_FALSE(policy.IsUnderPressure(kBegin));
  policy.OnPlacingPass(true, kBegin);
  policy.OnPlacingPass(true, kBegin + Duration(200));
  CHECK_FALSE(policy.IsUnderPressure(kBegin + Duration(200)));
  policy.OnPlacingPass(false, kBegin + Duration(220));
  policy.OnPlacingPass(true, kBegin + Duration(240));
  CHECK_FALSE(policy.IsUnderPressure(kBegin + Duration(400)));
  CHECK(policy.IsUnderPressure(kBegin + Duration(490)));
}

// Guards against jobs held until their deadline though none like them starts.
TEST_CASE("LateJobPolicy without starts of late jobs expects no further ones") {
  const LateJobPolicy policy;
  CHECK_FALSE(policy.CanStartBy(1, kBegin + Duration(5000), kBegin));
}

// Guards against refusing late jobs that would still be served.
TEST_CASE("LateJobPolicy with late jobs starting keeps what that rate serves") {
  LateJobPolicy policy;
  TimePoint now = kBegin;
  for (int i = 0; i < 300; ++i) {
    policy.OnLateStart(20, now);
    now = now + Duration(10);
  }
  // Two core-milliseconds are started in each millisecond.
  const TimePoint deadline = now + Duration(400);
  CHECK(policy.CanStartBy(700, deadline, now));
  CHECK_FALSE(policy.CanStartBy(900, deadline, now));
  CHECK_FALSE(
      policy.CanStartBy(700, deadline + Duration(2000), now + Duration(2000)));
}

}  // namespace
}  // namespace geranium
