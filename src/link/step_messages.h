#ifndef GERANIUM_LINK_STEP_MESSAGES_H_
#define GERANIUM_LINK_STEP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/shared_text.h"
#include "contract/route_table.h"
#include "contract/step_job.h"
#include "contract/task.h"

namespace geranium {

/// Describes a backend server's current incarnation; sent when it changes.
struct WorkerCard {
  WorkerId id;
  ServiceName service;
  DataCentreName data_centre;
  std::vector<std::string> labels;  ///< Including its kind and rack.
  Resources capacity;
  /// No run started by an earlier agent or incarnation is still running.
  bool previous_runs_ended = false;

  bool operator==(const WorkerCard&) const = default;

  template <class A>
  void Fields(A& a) {
    a(id)(service)(data_centre)(labels)(capacity)(previous_runs_ended);
  }
};

/// A worker's current capacity and load; sent when it changes.
struct WorkerReport {
  /// Queued work of less urgent priorities is counted with the last one.
  static constexpr int kPriorities = 4;

  bool accepting = false;
  Resources free;  ///< Queued orders are not subtracted.
  /// CPUs of the queued orders, by priority; empty if there are none.
  std::vector<double> queued_cpu;
  /// Total CPUs of all orders received on this link, which tells the entry
  /// which of its own orders `free` accounts for.
  double cpu_received = 0;
  /// In use by runs of the most urgent priority.
  double urgent_cpu = 0;
  double slowness = 1;           ///< Actual over estimated run times.
  bool failing = false;          ///< Most of its runs fail or stall.
  std::uint32_t entries = 1;     ///< Number of entries it is linked to.
  std::uint32_t speed_runs = 0;  ///< Runs that `slowness` is based on.
  /// Expected time until the first of its runs ends; 0 if a core is free.
  Duration next_end;

  template <class A>
  void Fields(A& a) {
    a(accepting)(free)(queued_cpu)(cpu_received)(urgent_cpu)(slowness);
    a(failing)(entries)(speed_runs)(next_end);
  }
};

/// Orders an agent to start a run, or to queue it for up to `max_wait`. Valid
/// only while the link is alive.
struct StartTask {
  AttemptId attempt;
  TaskRun run;
  std::string route;
  SharedText payload;  ///< Of the job.
  Resources size;
  int priority = 0;
  Duration estimate;
  Duration max_wait;  ///< For capacity, before the order is returned.
  /// The entry's last placing pass left tasks waiting, for whatever worker.
  bool more_waiting = false;

  template <class A>
  void Fields(A& a) {
    a(attempt)(run)(route)(payload)(size)(priority)(estimate)(max_wait);
    a(more_waiting);
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
  kStopped,     ///< It started but no longer runs.
  kSuperseded,  ///< Not started: the worker knows a run with a higher number.
  kCrashed,     ///< Its worker crashed while it ran.
};

/// The name used in logs.
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
    case AttemptEnd::kCrashed:
      return "crashed";
  }
  return "unknown";
}

/// An attempt's end; resent on each new link until it is acknowledged.
struct TaskEnd {
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::kNotStarted;
  std::string reason;

  template <class A>
  void Fields(A& a) {
    a(attempt)(end)(reason);
  }
};

/// Tells all linked entries, whoever ordered the runs, that a backend server
/// has crashed.
struct WorkerCrashed {
  WorkerId worker;
  /// Of the runs that were started shortly before.
  std::vector<std::string> routes;
  std::vector<TaskName> suspects;  ///< Those of them whose start was accepted.

  template <class A>
  void Fields(A& a) {
    a(worker)(routes)(suspects);
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

/// A data centre was taken out of service or put back by a route table. Sent to
/// agents there; the one with the highest offset counts.
struct DataCentreUpdate {
  DataCentreName data_centre;
  LogOffset offset;  ///< Of the newest route table that says so.
  bool out = false;

  template <class A>
  void Fields(A& a) {
    a(data_centre)(offset)(out);
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

struct EntryHeard {
  Incarnation entry;
  Duration age;  ///< Since its last heartbeat arrived.

  template <class A>
  void Fields(A& a) {
    a(entry)(age);
  }
};

/// Entries that the sender, or an agent linked to it, has heard from. Agents
/// send it with their heartbeats, entries in answer to `EntriesSilent`.
struct EntriesHeard {
  std::vector<EntryHeard> entries;

  template <class A>
  void Fields(A& a) {
    a(entries);
  }
};

/// Entries that neither the sender nor an agent linked to it hears from.
struct EntriesSilent {
  std::vector<Incarnation> entries;

  template <class A>
  void Fields(A& a) {
    a(entries);
  }
};

/// Jobs that the sending entry has accepted, so that a job resubmitted to
/// another entry is not run twice at the same time.
struct JobsAccepted {
  std::vector<StepJobId> jobs;

  template <class A>
  void Fields(A& a) {
    a(jobs);
  }
};

/// Asks the entry that accepted the job to hand it over.
struct JobHandoverRequest {
  StepJobId job;
  /// Entries that have handed it over to the sender: none of them gets it.
  std::vector<Incarnation> released = {};

  template <class A>
  void Fields(A& a) {
    a(job)(released);
  }
};

/// Asks who may have runs of a job, of an entry that has missed announcements.
struct JobHoldersQuery {
  StepJobId job;
  TimePoint sent_at;  ///< On the sender's clock.

  template <class A>
  void Fields(A& a) {
    a(job)(sent_at);
  }
};

/// The entries that may have runs of the job as far as the sender knows, itself
/// included.
struct JobHolders {
  StepJobId job;
  TimePoint query_sent_at;
  std::vector<Incarnation> entries;
  /// The sender has missed no announcement: it speaks for the others, too.
  bool knows_all = false;

  template <class A>
  void Fields(A& a) {
    a(job)(query_sent_at)(entries)(knows_all);
  }
};

/// The sender has no running task of the job any more, and waits for none.
struct JobHandedOver {
  StepJobId job;
  /// Others that may have runs of it as far as the sender knows.
  std::vector<Incarnation> holders = {};

  template <class A>
  void Fields(A& a) {
    a(job)(holders);
  }
};

/// Refuses a handover request: the sender hands the job over, or has done so,
/// to another entry, which is to be asked instead.
struct JobMoved {
  StepJobId job;
  Incarnation entry;

  template <class A>
  void Fields(A& a) {
    a(job)(entry);
  }
};

/// Jobs that their callers have cancelled: no entry may run them any more.
struct JobsCancelled {
  std::vector<StepJobId> jobs;

  template <class A>
  void Fields(A& a) {
    a(jobs);
  }
};

}  // namespace geranium

#endif  // GERANIUM_LINK_STEP_MESSAGES_H_
