#include "entry/open_step_job.h"

#include <catch2/catch.hpp>
#include <set>

namespace geranium {
namespace {

/// Two first steps, and one that depends on both, on the first one twice.
class OpenStepJobTest {
 protected:
  OpenStepJobTest() {
    job_.spec.steps.resize(3);
    job_.spec.steps[0].count = 2;
    job_.spec.steps[2].dependencies = {0, 1, 0};
    job_.AddSteps();
    job_.Unblock(0);
    job_.Unblock(1);
  }

  StepTask& Task(std::size_t step, std::size_t task) {
    return job_.steps[step].tasks[task];
  }

  void Finish(std::size_t step, std::size_t task) {
    job_.OnDispatched(step, Task(step, task));
    job_.OnTaskDone(step, Task(step, task));
  }

  OpenStepJob job_;
};

TEST_CASE_METHOD(OpenStepJobTest,
                 "OpenStepJob whose dependencies are done one after the other "
                 "unblocks the step after the last one") {
  CHECK(job_.waiting == 3);
  Finish(0, 0);
  Finish(1, 0);
  CHECK(Task(2, 0).state == StepTaskState::kBlocked);
  CHECK(job_.waiting_steps == std::set<std::size_t>{0});
  Finish(0, 1);
  CHECK(Task(2, 0).state == StepTaskState::kWaiting);
  CHECK(job_.waiting_steps == std::set<std::size_t>{2});
  CHECK_FALSE(job_.IsDone());
  Finish(2, 0);
  CHECK(job_.IsDone());
  CHECK(job_.waiting == 0);
}

TEST_CASE_METHOD(OpenStepJobTest,
                 "OpenStepJob with a task that waits again finds it first") {
  job_.OnDispatched(0, Task(0, 0));
  job_.OnDispatched(0, Task(0, 1));
  CHECK(job_.waiting_steps == std::set<std::size_t>{1});
  job_.steps[0].SkipToWaiting();
  CHECK(job_.steps[0].first_waiting == 2);
  job_.Requeue(0, Task(0, 1));
  CHECK(job_.steps[0].first_waiting == 1);
  job_.Requeue(0, Task(0, 0));
  CHECK(job_.steps[0].first_waiting == 0);
  CHECK(job_.waiting == 3);
  CHECK(job_.waiting_steps == std::set<std::size_t>{0, 1});
}

TEST_CASE(
    "EstimateMemory of a job grows with its tasks, not with their payload") {
  StepJob job;
  job.payload = SharedText(std::string(1000, 'x'));
  job.steps.resize(1);
  const std::size_t one = EstimateMemory(job);
  job.steps[0].count = 1001;
  const std::size_t many = EstimateMemory(job);
  CHECK(many - one >= 1000 * sizeof(StepTask));
  CHECK(many - one < 1000 * job.payload.size());
}

}  // namespace
}  // namespace geranium
