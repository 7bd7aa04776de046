#ifndef GERANIUM_CONTRACT_TASK_H_
#define GERANIUM_CONTRACT_TASK_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace geranium {

/// Classes of work, the most urgent first.
enum class TaskClass { kUrgent, kNormal, kBulk };
inline constexpr std::size_t kTaskClassCount = 3;

std::string_view Name(TaskClass task_class);
std::optional<TaskClass> ParseTaskClass(std::string_view name);

/// The resources that a task requires or that a worker has.
struct Resources {
  double cpu = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  /// True if `size` fits into this.
  bool CanFit(const Resources& size) const {
    return size.cpu <= cpu && size.memory_mb <= memory_mb &&
           size.accelerators <= accelerators;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool operator==(const Resources&) const = default;

  template <class A>
  void Fields(A& a) {
    a(cpu)(memory_mb)(accelerators);
  }
};

/// A single request is passed through; a job is a set of tasks with one answer.
enum class SubmissionKind { kRequest, kJob };

struct TaskSpec {
  std::string payload;
  Resources size;
};

/// A caller's submission, well-formed but not yet admitted.
struct Submission {
  SubmissionKind kind = SubmissionKind::kJob;
  ServiceName service;
  TeamName team;
  std::optional<TaskClass> task_class;  ///< Default: the service's class.
  std::optional<Duration> deadline;     ///< From arrival; has a default.
  std::optional<IdempotencyKey> key;
  std::uint64_t fingerprint = 0;  ///< Content hash, to detect reuse of a key.
  std::vector<TaskSpec> tasks;
};

enum class TaskStatus { kSucceeded, kFailed };

/// How one task ended.
struct TaskOutcome {
  TaskStatus status = TaskStatus::kFailed;
  int http_status = 0;         ///< From the backend server; 0 if none.
  std::string body;            ///< The backend server's whole answer.
  std::optional<Error> error;  ///< Set unless the task succeeded.

  static TaskOutcome Failure(Error error);

  template <class A>
  void Fields(A& a) {
    a(status)(http_status)(body)(error);
  }
};

/// The answer to a submission: every task's outcome, and whether all succeeded.
struct JobAnswer {
  JobId job;
  std::uint64_t fingerprint = 0;
  bool complete = false;
  std::vector<TaskOutcome> outcomes;

  template <class A>
  void Fields(A& a) {
    a(job)(fingerprint)(complete)(outcomes);
  }
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_TASK_H_
