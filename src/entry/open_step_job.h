#ifndef GERANIUM_ENTRY_OPEN_STEP_JOB_H_
#define GERANIUM_ENTRY_OPEN_STEP_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "contract/step_job.h"
#include "entry/admission.h"

namespace geranium {

enum class StepTaskState { kBlocked, kWaiting, kDispatched, kDone };

struct StepTask {
  StepTaskState state = StepTaskState::kBlocked;
  std::uint64_t run = 0;  ///< Number of the newest run.
  std::uint32_t failures = 0;
  std::uint32_t crashes = 0;  ///< Workers that crashed under it.
  std::optional<AttemptId> attempt;
  std::optional<WorkerId> avoid_worker;  ///< Its last run failed or was slow.
};

struct StepProgress {
  std::vector<StepTask> tasks;
  std::size_t waiting = 0;
  std::size_t done = 0;
  Duration time_after;  ///< Estimated, for the steps that depend on it.
};

/// In order of submission.
using JobNumber = std::uint64_t;

/// A job that is not answered yet, or of which a run may still be open.
struct OpenStepJob {
  JobNumber number = 0;
  CallerHandle caller;
  StepJob spec;
  Route route;
  TimePoint submitted;
  JobDeadlines deadlines;
  std::vector<StepProgress> steps;
  std::size_t waiting = 0;
  std::size_t open_attempts = 0;  ///< Not known to have ended.
  std::uint64_t orders = 0;
  bool held = false;
  bool late = false;  ///< Past its latest start with nothing started.
  bool answered = false;
  bool relinquished = false;
  bool may_have_run = false;  ///< Here, or at an earlier entry.

  /// The estimated processor time of the waiting tasks.
  double WaitingCoreMs() const;
};

/// Upper estimate of the memory of a job from its admission to its end.
std::size_t EstimateMemory(const StepJob& job);

/// The estimated processor time of all tasks.
double CoreMs(const StepJob& job);

/// For each step the estimated time of the longest chain of steps after it.
std::vector<Duration> TimeAfterSteps(const StepJob& job);

/// The name of one task of a job, the same at every entry.
TaskName NameOf(const OpenStepJob& job, std::size_t step, std::size_t task);

}  // namespace geranium

#endif  // GERANIUM_ENTRY_OPEN_STEP_JOB_H_
