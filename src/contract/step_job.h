#ifndef GERANIUM_CONTRACT_STEP_JOB_H_
#define GERANIUM_CONTRACT_STEP_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/memory_lease.h"
#include "base/shared_text.h"
#include "contract/task.h"

namespace geranium {

/// The job id chosen by the caller; a resubmitted job has the same id.
using StepJobId = StrongId<struct StepJobIdTag, std::string>;
/// The name of one task, the same for each of its runs and at every entry.
using TaskName = StrongId<struct TaskNameTag, std::string>;

/// One run of one task. Runs of a task are numbered upwards from 1.
struct TaskRun {
  TaskName task;
  std::uint64_t run = 0;

  auto operator<=>(const TaskRun&) const = default;
  template <class A>
  void Fields(A& a) {
    a(task)(run);
  }
};

/// Optional features that a step requires. An entry refuses a job that
/// requires a feature it does not support.
enum class StepFeature { kGang, kLongRunning, kFill, kLatencyTarget };

/// Tasks with the same requirements, which may run in parallel.
struct StepSpec {
  std::uint32_t count = 1;
  Resources size;
  Duration estimate;                      ///< Run time of one task, roughly.
  std::vector<std::size_t> dependencies;  ///< Indices of earlier steps.
  std::string required_label;             ///< Empty if any worker is suitable.
  std::string data_rack;  ///< Where the tasks run fastest; empty: any rack.
  std::uint32_t max_per_worker = 0;  ///< Of this step's tasks; 0: no limit.
  std::vector<StepFeature> features;
};

/// A job of steps. Its answer is only how it ended; nothing is persisted.
struct StepJob {
  StepJobId id;
  SharedText payload;  ///< Passed to every task.
  std::vector<StepSpec> steps;
  bool durable = false;           ///< Must survive the loss of the entry.
  std::uint32_t repetitions = 0;  ///< Scheduled occurrences; 0: runs once.
  MemoryLease memory;             ///< For the job until its end.
};

/// How a step job ended.
enum class StepJobEnd { kCompleted, kFailed };

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_STEP_JOB_H_
