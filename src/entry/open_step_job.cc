#include "entry/open_step_job.h"

#include <algorithm>
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
