#ifndef GERANIUM_WORKER_WORKER_CALLS_H_
#define GERANIUM_WORKER_WORKER_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/shared_text.h"
#include "contract/step_job.h"
#include "contract/task.h"

namespace geranium {

/// Registration of a backend server at its agent.
struct WorkerAnnouncement {
  WorkerId id;
  ServiceName service;
  DataCentreName data_centre;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  std::uint64_t sequence = 0;    ///< Increases within one incarnation.
  std::int64_t clock_ms = 0;     ///< The backend server's own clock.
  std::uint64_t started_ms = 0;  ///< Start time; identifies the incarnation.
};

/// Orders the backend server to start a run.
struct StartRun {
  WorkerId worker;
  TaskRun run;
  SharedText payload;
  std::int64_t lease_until_ms = 0;  ///< On the backend server's clock.
  std::uint64_t fencing_token = 0;
};

struct StopRun {
  WorkerId worker;
  TaskRun run;
  std::uint64_t fencing_token = 0;
};

/// Renews the lease of all runs, acknowledges ended runs and lists the rest.
struct PollRuns {
  std::uint64_t number = 0;  ///< Identifies this poll at the agent.
  WorkerId worker;
  std::optional<std::int64_t> lease_until_ms;  ///< Absent: not renewed.
  std::uint64_t fencing_token = 0;
  std::uint64_t acknowledged_end = 0;
  Duration wait;  ///< Long-poll limit: how long to wait for a run to end.
};

/// Reply of the backend server to an order.
enum class OrderReply {
  kAccepted,
  kFenced,      ///< It has seen a higher fencing token.
  kSuperseded,  ///< It has seen a stop, an end or a later run of the task.
  kExpired,     ///< The lease had expired when the order arrived.
  kNoCapacity,
  kUnhealthy,         ///< It reports itself as failing; nothing was done.
  kOtherIncarnation,  ///< The order was for another incarnation.
  kMalformed,
  kConnectionRefused,  ///< No process listens there; nothing was sent.
  kNoAnswer,           ///< The order may have been carried out, or may yet be.
};

struct OrderOutcome {
  OrderReply reply = OrderReply::kNoAnswer;
  std::optional<std::int64_t> clock_ms;
  std::string message;
  /// The order was sent before without an answer. `reply` speaks for its own
  /// copy only: the earlier one may have been carried out, or may yet be.
  bool earlier_copy_lost = false;
};

enum class RunEnd { kDone, kFailed, kStopped };

struct EndedRun {
  std::uint64_t number = 0;  ///< Increases within one incarnation.
  TaskRun run;
  RunEnd end = RunEnd::kStopped;
};

struct ListedRun {
  TaskRun run;
  int percent = 0;
};

struct PollOutcome {
  OrderReply reply = OrderReply::kNoAnswer;
  std::optional<std::int64_t> clock_ms;
  std::uint64_t started_ms = 0;
  std::vector<ListedRun> running;
  std::vector<EndedRun> ended;
  /// False if further ends may follow once these are acknowledged: a run that
  /// is in neither list may have ended.
  bool lists_all_ends = true;
  std::string message;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_WORKER_CALLS_H_
