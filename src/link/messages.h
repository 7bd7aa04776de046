#ifndef GERANIUM_LINK_MESSAGES_H_
#define GERANIUM_LINK_MESSAGES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/task.h"
#include "data_centre/configuration_state.h"
#include "link/step_messages.h"

namespace geranium {

/// The health of a backend server as judged by its agent.
enum class BackendHealth {
  kAnswering,
  kUnresponsive,  ///< A call is overdue or got no answer; nothing is started.
  kFailing,       ///< It answers, but with failures.
};

enum class ProcessRole { kEntry, kAgent };

/// A worker's load as last observed by its agent.
struct WorkerLoad {
  int free_slots = 0;         ///< For work of any class.
  int urgent_free_slots = 0;  ///< Also counts those reserved for urgent work.
  int running = 0;
  int queued = 0;
  std::uint64_t offers_seen = 0;  ///< On the link that this is sent on.
  BackendHealth health = BackendHealth::kAnswering;
  bool leaving = false;

  template <class A>
  void Fields(A& a) {
    a(free_slots)(urgent_free_slots)(
        running)(queued)(offers_seen)(health)(leaving);
  }
};

/// What a worker offers; fixed for one incarnation of its agent.
struct WorkerProfile {
  WorkerId id;
  DataCentreName data_centre;
  std::vector<ServiceName> services;
  int slots = 0;
  Resources capacity;

  template <class A>
  void Fields(A& a) {
    a(id)(data_centre)(services)(slots)(capacity);
  }
};

/// The first message on a link, from both sides: identifies the sender.
struct Hello {
  ProcessRole role = ProcessRole::kAgent;
  std::string name;
  Incarnation incarnation;
  std::string link_address;  ///< Where an entry accepts links, else empty.
  std::string http_address;
  std::optional<WorkerProfile> worker;

  template <class A>
  void Fields(A& a) {
    a(role)(name)(incarnation)(link_address)(http_address)(worker);
  }
};

/// The entries that the sender knows, by link address.
struct Members {
  std::vector<std::string> entry_addresses;

  template <class A>
  void Fields(A& a) {
    a(entry_addresses);
  }
};

/// Sent at a fixed interval by both sides of a link. `echo` is the `sent_at` of
/// the newest heartbeat received, so that the receiver can time the round trip
/// by its own clock. `confirmed_age` is an upper bound of the time since the
/// sender's configuration was confirmed to be the newest.
struct Heartbeat {
  TimePoint sent_at;
  std::optional<TimePoint> echo;
  Version version;
  std::optional<Duration> confirmed_age;
  std::optional<WorkerLoad> load;

  template <class A>
  void Fields(A& a) {
    a(sent_at)(echo)(version)(confirmed_age)(load);
  }
};

/// Requests the whole configuration if it is newer than `have`.
struct ConfigurationPull {
  Version have;

  template <class A>
  void Fields(A& a) {
    a(have);
  }
};

struct ConfigurationPush {
  ConfigurationState state;

  template <class A>
  void Fields(A& a) {
    a(state);
  }
};

/// The task that a worker is allowed to start.
struct Assignment {
  JobId job;
  std::uint32_t task = 0;
  std::string payload;

  template <class A>
  void Fields(A& a) {
    a(job)(task)(payload);
  }
};

/// Asks an agent to queue an attempt. The agent may start it only after a
/// grant, unless the offer includes the assignment.
struct Offer {
  AttemptId attempt;
  ServiceName service;
  TaskClass task_class = TaskClass::kNormal;
  Duration time_left;
  Resources size;
  bool repeatable = false;  ///< The call may be repeated by the agent.
  std::optional<Assignment> assignment;

  template <class A>
  void Fields(A& a) {
    a(attempt)(service)(task_class)(time_left)(size)(repeatable)(assignment);
  }
};

/// The agent has queued the offer and expects this wait for a slot.
struct OfferAck {
  AttemptId attempt;
  Duration expected_wait;
  WorkerLoad load;

  template <class A>
  void Fields(A& a) {
    a(attempt)(expected_wait)(load);
  }
};

/// A slot is reserved for the attempt until the grant's time to live has passed
/// by the agent's own clock.
struct Ready {
  AttemptId attempt;
  WorkerLoad load;

  template <class A>
  void Fields(A& a) {
    a(attempt)(load);
  }
};

/// Permission to start the attempt once, with the task that it is for.
struct Grant {
  AttemptId attempt;
  Assignment assignment;

  template <class A>
  void Fields(A& a) {
    a(attempt)(assignment);
  }
};

/// Withdraws an offer; has no effect once the attempt has started.
struct Withdraw {
  AttemptId attempt;

  template <class A>
  void Fields(A& a) {
    a(attempt);
  }
};

/// The agent has dropped the attempt, which never started and never will.
struct NotStarted {
  AttemptId attempt;
  Error reason;
  WorkerLoad load;

  template <class A>
  void Fields(A& a) {
    a(attempt)(reason)(load);
  }
};

/// Asks an agent to drop the attempt or to abort its call.
struct Cancel {
  AttemptId attempt;

  template <class A>
  void Fields(A& a) {
    a(attempt);
  }
};

/// An attempt's outcome; resent until it is acknowledged.
struct TaskResult {
  AttemptId attempt;
  JobId job;
  std::uint32_t task = 0;
  TaskOutcome outcome;
  bool unreachable = false;  ///< The backend server gave no answer.
  Duration run_time;
  WorkerLoad load;

  template <class A>
  void Fields(A& a) {
    a(attempt)(job)(task)(outcome)(unreachable)(run_time)(load);
  }
};

struct ResultAck {
  AttemptId attempt;

  template <class A>
  void Fields(A& a) {
    a(attempt);
  }
};

/// The agent accepts no new work and finishes its running tasks.
struct Leaving {
  WorkerLoad load;

  template <class A>
  void Fields(A& a) {
    a(load);
  }
};

/// Asks an agent to drain as on a termination signal, but to keep running.
struct Drain {
  WorkerId worker;

  template <class A>
  void Fields(A& a) {
    a(worker);
  }
};

/// Asks the entry that holds a key for the answer to its job. If the key was
/// minted there and is unclaimed, it is claimed for `claimant`.
struct KeyQuery {
  std::uint64_t query = 0;
  IdempotencyKey key;
  std::uint64_t fingerprint = 0;
  JobId claimant;

  template <class A>
  void Fields(A& a) {
    a(query)(key)(fingerprint)(claimant);
  }
};

enum class KeyState {
  kClaimed,   ///< The claimant now holds the key.
  kHeldBy,    ///< Another job holds it.
  kAnswered,  ///< The holder's answer is included.
  kUnknown,   ///< The entry knows neither the key nor its job.
};

struct KeyReply {
  std::uint64_t query = 0;
  KeyState state = KeyState::kUnknown;
  JobId holder;
  std::optional<JobAnswer> answer;

  template <class A>
  void Fields(A& a) {
    a(query)(state)(holder)(answer);
  }
};

using Message = std::variant<
    Hello, Members, Heartbeat, ConfigurationPull, ConfigurationPush, Offer,
    OfferAck, Ready, Grant, Withdraw, NotStarted, Cancel, TaskResult, ResultAck,
    Leaving, Drain, KeyQuery, KeyReply, WorkerCard, WorkerReport, StartTask,
    StopTask, TaskEnd, TaskEndAck, AttemptList, RouteTablePull, RouteTablePush,
    JobsAccepted, JobHandoverRequest, JobHandedOver, JobMoved, WorkerCrashed,
    JobsCancelled, JobHoldersQuery, JobHolders, EntriesHeard, EntriesSilent,
    DataCentreUpdate>;

/// The name of a message's type, for logs and metrics.
std::string_view MessageName(const Message& message);

/// Messages that are sent together.
using Frame = std::vector<Message>;

}  // namespace geranium

#endif  // GERANIUM_LINK_MESSAGES_H_
