#include "entry/open_step_job.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace geranium {
namespace {

/// Of the entries of a job in the tables of jobs, callers and requests.
constexpr std::size_t kJobBytes = 2048;
/// Of a step and its progress.
constexpr std::size_t kStepBytes = 512;
constexpr std::size_t kTaskBytes = 128;
/// Of a dependency, at both of its ends.
constexpr std::size_t kDependencyBytes = 32;

static_assert(sizeof(OpenStepJob) <= kJobBytes / 2);
static_assert(sizeof(StepSpec) + sizeof(StepProgress) <= kStepBytes);
static_assert(sizeof(StepTask) <= kTaskBytes);

}  // namespace

void StepProgress::SkipToWaiting() {
  while (first_waiting < tasks.size() &&
         tasks[first_waiting].state != StepTaskState::kWaiting) {
    ++first_waiting;
  }
}

void OpenStepJob::AddSteps() {
  const std::vector<Duration> time_after = TimeAfterSteps(spec);
  steps.resize(spec.steps.size());
  for (std::size_t index = 0; index < steps.size(); ++index) {
    steps[index].tasks.resize(spec.steps[index].count);
    steps[index].time_after = time_after[index];
    steps[index].unmet_dependencies = spec.steps[index].dependencies.size();
    for (const std::size_t earlier : spec.steps[index].dependencies) {
      steps.at(earlier).dependents.push_back(index);
    }
  }
}

void OpenStepJob::Unblock(std::size_t step) {
  StepProgress& progress = steps[step];
  for (StepTask& task : progress.tasks) task.state = StepTaskState::kWaiting;
  progress.waiting += progress.tasks.size();
  waiting += progress.tasks.size();
  waiting_steps.insert(step);
}

void OpenStepJob::Requeue(std::size_t step, StepTask& task) {
  StepProgress& progress = steps[step];
  task.state = StepTaskState::kWaiting;
  const auto index =
      static_cast<std::size_t>(std::distance(progress.tasks.data(), &task));
  progress.first_waiting = std::min(progress.first_waiting, index);
  ++progress.waiting;
  ++waiting;
  waiting_steps.insert(step);
}

void OpenStepJob::OnDispatched(std::size_t step, StepTask& task) {
  task.state = StepTaskState::kDispatched;
  --waiting;
  if (--steps[step].waiting == 0) waiting_steps.erase(step);
}

void OpenStepJob::OnTaskDone(std::size_t step, StepTask& task) {
  StepProgress& progress = steps[step];
  task.state = StepTaskState::kDone;
  if (++progress.done < progress.tasks.size()) return;
  ++steps_done;
  for (const std::size_t dependent : progress.dependents) {
    if (--steps[dependent].unmet_dependencies == 0) Unblock(dependent);
  }
}

double OpenStepJob::WaitingCoreMs() const {
  double sum = 0;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    const StepSpec& step = spec.steps[s];
    sum += static_cast<double>(steps[s].waiting) * step.size.cpu *
           static_cast<double>(step.estimate.ms());
  }
  return sum;
}

double CoreMs(const StepJob& job) {
  double sum = 0;
  for (const StepSpec& step : job.steps) {
    sum += static_cast<double>(step.count) * step.size.cpu *
           static_cast<double>(step.estimate.ms());
  }
  return sum;
}

std::vector<Duration> TimeAfterSteps(const StepJob& job) {
  std::vector<Duration> after(job.steps.size());
  for (std::size_t index = job.steps.size(); index-- > 0;) {
    const StepSpec& step = job.steps[index];
    for (const std::size_t earlier : step.dependencies) {
      after[earlier] = std::max(after[earlier], after[index] + step.estimate);
    }
  }
  return after;
}

std::size_t EstimateMemory(const StepJob& job) {
  std::size_t bytes = kJobBytes + job.payload.size();
  for (const StepSpec& step : job.steps) {
    bytes += kStepBytes + kTaskBytes * step.count +
             kDependencyBytes * step.dependencies.size() +
             // Copied while the step's tasks are placed.
             2 * (step.required_label.size() + step.data_rack.size());
  }
  return bytes;
}

TaskName NameOf(const OpenStepJob& job, std::size_t step, std::size_t task) {
  return TaskName(job.spec.id.value() + ".0." + std::to_string(step) + "." +
                  std::to_string(task));
}

}  // namespace geranium
