#ifndef GERANIUM_LINK_STEP_MESSAGES_H_
#define GERANIUM_LINK_STEP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "contract/step_job.h"
#include "contract/task.h"

namespace geranium {

/// A backend server's incarnation as its agent knows it; sent when it changes.
struct WorkerCard {
  WorkerId id;
  ServiceName service;
  DataCentreName data_centre;
  std::vector<std::string> labels;  ///< Its kind and its rack among them.
  Resources capacity;
  /// Nothing that an earlier agent or incarnation had started runs any more.
  bool previous_runs_ended = false;

  template <class A>
  void Fields(A& a) {
    a(id)(service)(data_centre)(labels)(capacity)(previous_runs_ended);
  }
};

/// What a worker can take now; sent when it changes.
struct WorkerReport {
  /// Queued work of less urgent priorities is counted with the last one.
  static constexpr int kPriorities = 4;

  bool accepting = false;
  Resources free;  ///< Not counting what is queued at the agent.
  /// Processors of the queued orders, by priority; empty if there are none.
  std::vector<double> queued_cpu;
  /// Processor of all orders received on this link, so that the entry knows
  /// which of its own orders `free` includes.
  double cpu_received = 0;
  double slowness = 1;        ///< Run times there against the estimates.
  bool failing = false;       ///< Most of what it starts fails or stands still.
  std::uint32_t entries = 1;  ///< Entries that it is linked to.

  template <class A>
  void Fields(A& a) {
    a(accepting)(free)(queued_cpu)(cpu_received)(slowness)(failing)(entries);
  }
};

/// Orders an agent to start a run, or to queue it for a moment. Valid only
/// while the link is fresh.
struct StartTask {
  AttemptId attempt;
  TaskRun run;
  std::string payload;
  Resources size;
  int priority = 0;
  Duration estimate;
  Duration max_wait;  ///< For room, before the order is returned.

  template <class A>
  void Fields(A& a) {
    a(attempt)(run)(payload)(size)(priority)(estimate)(max_wait);
  }
};

/// Orders an agent to stop the run, or to drop it if it has not started.
struct StopTask {
  AttemptId attempt;

  template <class A>
  void Fields(A& a) {
    a(attempt);
  }
};

enum class AttemptEnd {
  kDone,
  kFailed,      ///< It ran and failed.
  kNotStarted,  ///< It never ran at that worker and never will.
  kStopped,     ///< It ran for a while and does not any more.
  kSuperseded,  ///< Not started: the worker knows a run with a higher number.
};

/// As in logs.
constexpr std::string_view Name(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kDone:
      return "done";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kNotStarted:
      return "not_started";
    case AttemptEnd::kStopped:
      return "stopped";
    case AttemptEnd::kSuperseded:
      return "superseded";
  }
  return "unknown";
}

/// An attempt's end; sent again on a new link until it is acknowledged.
struct TaskEnd {
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::kNotStarted;
  std::string reason;

  template <class A>
  void Fields(A& a) {
    a(attempt)(end)(reason);
  }
};

struct TaskEndAck {
  AttemptId attempt;

  template <class A>
  void Fields(A& a) {
    a(attempt);
  }
};

/// The entry's attempts that the agent holds, sent first on each new link. An
/// order that is not among them was lost with the old link.
struct AttemptList {
  std::vector<AttemptId> attempts;

  template <class A>
  void Fields(A& a) {
    a(attempts);
  }
};

struct RouteTablePull {
  LogOffset have;

  template <class A>
  void Fields(A& a) {
    a(have);
  }
};

struct RouteTablePush {
  RouteTable table;

  template <class A>
  void Fields(A& a) {
    a(table);
  }
};

/// Jobs that the sending entry has accepted, so that a job sent again at
/// another entry is not run beside it.
struct JobsAccepted {
  std::vector<StepJobId> jobs;

  template <class A>
  void Fields(A& a) {
    a(jobs);
  }
};

/// Asks the entry that accepted the job to give it up.
struct JobHandoverRequest {
  StepJobId job;

  template <class A>
  void Fields(A& a) {
    a(job);
  }
};

/// Nothing of the job runs for the sender any more.
struct JobHandedOver {
  StepJobId job;

  template <class A>
  void Fields(A& a) {
    a(job);
  }
};

}  // namespace geranium

#endif  // GERANIUM_LINK_STEP_MESSAGES_H_
