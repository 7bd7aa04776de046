#include "entry/admission.h"

#include <xxhash.h>

#include <algorithm>

namespace geranium {
namespace {

/// An answer later than this many times the latency objective is of no use to
/// the caller.
constexpr std::int64_t kDeadlineObjectiveMultiple = 3;
constexpr std::int64_t kMsPerSecond = 1000;
/// Bounds what a wrong estimate of the backlog can cost a caller.
constexpr std::int64_t kMaxRetrySeconds = 10;

}  // namespace

JobDeadlines Admission::DeadlinesOf(Duration critical_path, const Route& route,
                                    Duration caller_timeout,
                                    TimePoint now) const {
  const Duration objective =
      Duration(static_cast<std::int64_t>(
          static_cast<double>(critical_path.ms()) * route.slack_factor)) +
      route.target_latency;
  JobDeadlines deadlines;
  deadlines.objective = now + objective;
  deadlines.answer_deadline = now + caller_timeout;
  deadlines.latest_start =
      now + (objective - critical_path) * options_.wait_percent / 100;
  deadlines.start_deadline =
      now + std::min(caller_timeout, objective * kDeadlineObjectiveMultiple) -
      critical_path;
  return deadlines;
}

bool Admission::IsQueueTooLong(const JobDeadlines& deadlines,
                               const Backlog& backlog, TimePoint now) const {
  if (now + backlog.in_time <= deadlines.latest_start) return false;
  return backlog.total >
         (deadlines.start_deadline - now) * options_.late_percent / 100;
}

// Callers refused in one burst would return as one if all were told the same,
// so each gets a second of its own between the time in which the backlog is
// worked off and twice that time.
Duration Admission::RetryAfter(const StepJobId& job, const Backlog& backlog) {
  const std::int64_t drained =
      (backlog.total.ms() + kMsPerSecond - 1) / kMsPerSecond;
  const std::int64_t base =
      std::clamp<std::int64_t>(drained, 1, kMaxRetrySeconds / 2);
  const std::string& id = job.value();
  const auto spread = static_cast<std::int64_t>(
      XXH64(id.data(), id.size(), 0) % static_cast<std::uint64_t>(base + 1));
  return Duration((base + spread) * kMsPerSecond);
}

}  // namespace geranium
