#include "entry/open_step_job.h"

#include <string>

namespace geranium {

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

TaskName NameOf(const OpenStepJob& job, std::size_t step, std::size_t task) {
  return TaskName(job.spec.id.value() + ".0." + std::to_string(step) + "." +
                  std::to_string(task));
}

}  // namespace geranium
