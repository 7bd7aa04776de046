#ifndef GERANIUM_CONTRACT_STEP_JOB_H_
#define GERANIUM_CONTRACT_STEP_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/task.h"

namespace geranium {

/// The id that a caller chose for its job; the same for a job sent again.
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

/// What a step's tasks need beyond plain runs. An entry refuses a job with a
/// need that it cannot meet.
enum class StepFeature { kGang, kLongRunning, kFill, kLatencyTarget };

/// Tasks of one shape that may run side by side.
struct StepSpec {
  std::uint32_t count = 1;
  Resources size;
  Duration estimate;                      ///< Of one task; a rough guess.
  std::vector<std::size_t> dependencies;  ///< Earlier steps, by number.
  std::string required_label;             ///< Empty if any worker will do.
  std::string data_rack;  ///< Where the tasks run fastest; empty if anywhere.
  std::uint32_t max_per_worker = 0;  ///< Of this step's tasks; 0: no limit.
  std::vector<StepFeature> features;
};

/// A job of steps. Its answer is how it ended; nothing of it is stored.
struct StepJob {
  StepJobId id;
  std::string payload;  ///< Handed to every task.
  std::vector<StepSpec> steps;
  bool durable = false;           ///< Has to outlive the entry.
  std::uint32_t repetitions = 0;  ///< Scheduled occurrences; 0: runs once.
};

/// How a step job ended.
enum class StepJobEnd { kCompleted, kFailed };

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_STEP_JOB_H_
