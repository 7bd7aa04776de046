#ifndef GERANIUM_ENTRY_JOB_H_
#define GERANIUM_ENTRY_JOB_H_

#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/service_text.h"
#include "contract/task.h"
#include "entry/fair_queue.h"

namespace geranium {

enum class TaskState {
  kWaiting,  ///< At the entry.
  kGranted,  ///< A worker may start it or has.
  kDone,
};

/// One task of a job at its arbiter.
struct Task {
  TaskSpec spec;
  TaskState state = TaskState::kWaiting;
  bool queued = false;              ///< Waits in a queue, not for a timer.
  std::vector<AttemptId> attempts;  ///< The granted ones that are open.
  int not_started_count = 0;        ///< Times it came back not started.
  int unanswered_grants = 0;
  bool in_doubt = false;  ///< A grant will never be answered.
  bool has_run = false;   ///< A result came, if only of a failure.
  TaskOutcome outcome;

  /// True if a worker may have started it.
  bool MayHaveRun() const {
    return unanswered_grants > 0 || in_doubt || has_run;
  }
};

/// A submission that was admitted.
struct Job {
  JobId id;
  SubmissionKind kind = SubmissionKind::kJob;
  ServiceSpec service;
  TeamName team;
  int weight = 1;
  TaskClass task_class = TaskClass::kNormal;
  std::uint64_t fingerprint = 0;
  TimePoint submitted;
  TimePoint deadline;
  bool claimed = true;  ///< No key, or the key is this job's.
  std::vector<Task> tasks;
  std::size_t open_tasks = 0;  ///< Tasks that are not done.

  /// Only a single request to an idempotent service may run more than once.
  bool IsRepeatable() const {
    return kind == SubmissionKind::kRequest && service.idempotent;
  }
};

/// The queue that a task waits in.
struct QueueKey {
  TaskClass task_class = TaskClass::kNormal;
  ServiceName service;

  auto operator<=>(const QueueKey&) const = default;
};

/// One attempt at one worker, as the entry remembers it while it is open. It is
/// an offer for whatever waits first in its queue, until it is granted a task.
struct Attempt {
  QueueKey queue;
  Resources size;
  std::optional<TaskRef> task;  ///< Once it is granted.
  WorkerId worker;
  bool to_free_slot = false;  ///< An answer is expected at once.
  bool acknowledged = false;
  TimePoint granted_at;

  bool granted() const { return task.has_value(); }
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_JOB_H_
