#ifndef GERANIUM_ENTRY_ADMISSION_H_
#define GERANIUM_ENTRY_ADMISSION_H_

#include <cstdint>

#include "base/clock.h"
#include "contract/route_table.h"
#include "contract/step_job.h"

namespace geranium {

struct AdmissionOptions {
  /// Percentage of a job's slack (latency objective less critical path) that it
  /// may wait. Beyond it the job counts as late: it yields to jobs still on
  /// time, or, on arrival, is refused (but see `late_percent`). Below 100 since
  /// estimates are rough, and a job that starts at the last moment often
  /// finishes late.
  std::int64_t wait_percent = 50;
  /// A job that cannot start in time for its objective is still admitted if the
  /// whole backlog takes at most this percentage of the time until its start
  /// deadline: a late answer is of use to the caller, a refusal is not.
  std::int64_t late_percent = 50;
};

struct JobDeadlines {
  TimePoint objective;        ///< The answer is late after that.
  TimePoint latest_start;     ///< The job is late if not started by then.
  TimePoint start_deadline;   ///< Refused if not started by then.
  TimePoint answer_deadline;  ///< The caller stops waiting then.
};

/// Expected time to work off what waits ahead of a new job.
struct Backlog {
  Duration in_time;  ///< Ahead of a job that is not late.
  Duration total;    ///< Ahead of a late one.
};

/// Decides which jobs an overloaded entry takes in, and when the callers of the
/// others should return. Answers bursts that last seconds: what can still be
/// served late is admitted, the rest is refused on arrival.
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options_(options) {}

  JobDeadlines DeadlinesOf(Duration critical_path, const Route& route,
                           Duration caller_timeout, TimePoint now) const;
  bool IsQueueTooLong(const JobDeadlines& deadlines, const Backlog& backlog,
                      TimePoint now) const;
  /// Whole seconds, since that is what callers can be told.
  static Duration RetryAfter(const StepJobId& job, const Backlog& backlog);

 private:
  AdmissionOptions options_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_ADMISSION_H_
