#ifndef GERANIUM_ENTRY_OPEN_STEP_JOB_H_
#define GERANIUM_ENTRY_OPEN_STEP_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
  std::size_t first_waiting = 0;  ///< No task before this one is waiting.
  std::size_t unmet_dependencies = 0;
  std::vector<std::size_t> dependents;  ///< Steps that depend on it.
  /// Open attempts by agent, kept if the step limits them.
  std::map<Incarnation, std::uint32_t> open_at;
  Duration time_after;  ///< Estimated, for the steps that depend on it.

  /// Moves `first_waiting` to the first task that is waiting.
  void SkipToWaiting();
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
  std::set<std::size_t> waiting_steps;  ///< Those with waiting tasks.
  std::size_t steps_done = 0;
  std::size_t waiting = 0;
  std::size_t open_attempts = 0;  ///< Not known to have ended.
  std::uint64_t orders = 0;
  std::uint32_t most_crashes = 0;  ///< Of one of its tasks.
  bool held = false;
  bool late = false;  ///< Past its latest start with nothing started.
  bool answered = false;
  bool relinquished = false;
  bool may_have_run = false;  ///< Here, or at an earlier entry.

  /// The estimated processor time of the waiting tasks.
  double WaitingCoreMs() const;
  bool IsDone() const { return steps_done == steps.size(); }

  /// Creates the tasks of all steps, blocked, from `spec`.
  void AddSteps();
  /// The tasks of a step whose dependencies are done can run.
  void Unblock(std::size_t step);
  /// A task that was dispatched waits again.
  void Requeue(std::size_t step, StepTask& task);
  /// A waiting task has been dispatched.
  void OnDispatched(std::size_t step, StepTask& task);
  /// Unblocks the steps that waited for the last task of this one.
  void OnTaskDone(std::size_t step, StepTask& task);
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
