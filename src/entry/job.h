#ifndef GERANIUM_ENTRY_JOB_H_
#define GERANIUM_ENTRY_JOB_H_

#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/service_config.h"
#include "contract/task.h"
#include "entry/fair_queue.h"

namespace geranium {

enum class TaskState {
  kWaiting,  ///< At the entry.
  kGranted,  ///< A worker may start it or has started it.
  kDone,
};

/// One task of a job, as its dispatcher tracks it.
struct Task {
  TaskSpec spec;
  TaskState state = TaskState::kWaiting;
  bool queued = false;              ///< In a queue, not waiting for a timer.
  std::vector<AttemptId> attempts;  ///< Granted and still open.
  int not_started_count = 0;        ///< Attempts that ended without a start.
  int unanswered_grants = 0;
  bool in_doubt = false;  ///< The outcome of a grant is unknown.
  bool has_run = false;   ///< A result came, even a failed one.
  TaskOutcome outcome;

  /// True if a worker may have started the task.
  bool MayHaveRun() const {
    return unanswered_grants > 0 || in_doubt || has_run;
  }
};

/// An admitted submission.
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
  bool claimed = true;  ///< The job has no key or holds it.
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

/// One open attempt at one worker. Until it is granted a task, it is an offer
/// for whichever task is at the head of its queue.
struct Attempt {
  QueueKey queue;
  Resources size;
  std::optional<TaskRef> task;  ///< Set once granted.
  WorkerId worker;
  bool to_free_slot = false;  ///< The worker had a free slot for it.
  bool acknowledged = false;
  TimePoint granted_at;

  bool granted() const { return task.has_value(); }
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_JOB_H_
