#ifndef GERANIUM_ENTRY_JOB_QUEUE_H_
#define GERANIUM_ENTRY_JOB_QUEUE_H_

#include <compare>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "entry/admission.h"
#include "entry/open_step_job.h"

namespace geranium {

/// How jobs are ordered while not all of them find free capacity.
enum class QueueOrder {
  kPriority,  ///< By priority, then by age.
  /// Urgent jobs first, all others by their latest start, so that a large job
  /// of a low priority is not overtaken for ever.
  kLatestStart,
};

/// The jobs with waiting tasks in the order in which they are placed. Jobs that
/// are late come last.
class JobQueue {
 public:
  explicit JobQueue(QueueOrder order) : order_(order) {}

  void Insert(const OpenStepJob& job) { keys_.insert(KeyOf(job)); }
  void Erase(const OpenStepJob& job) { keys_.erase(KeyOf(job)); }
  /// Moves a job behind those that are not late.
  void MarkLate(OpenStepJob& job);

  bool empty() const { return keys_.empty(); }
  /// True if a job that is not late waits.
  bool has_jobs_in_time() const {
    return !keys_.empty() && !keys_.begin()->late;
  }
  std::vector<JobNumber> Jobs() const;
  std::vector<JobNumber> LateJobs() const;

  /// The time in which `cores` work off what waits ahead of the job.
  /// The estimated processor time of all waiting tasks.
  double WaitingCoreMs(const std::map<JobNumber, OpenStepJob>& jobs) const;
  Backlog EstimateBacklog(const OpenStepJob& job,
                          const std::map<JobNumber, OpenStepJob>& jobs,
                          double cores) const;

 private:
  struct Key {
    bool late = false;
    int rank = 0;
    TimePoint latest_start;
    JobNumber number = 0;
    auto operator<=>(const Key&) const = default;
  };

  Key KeyOf(const OpenStepJob& job) const;

  QueueOrder order_;
  std::set<Key> keys_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_JOB_QUEUE_H_
