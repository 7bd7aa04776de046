#include "entry/job_queue.h"

namespace geranium {

JobQueue::Key JobQueue::KeyOf(const OpenStepJob& job) const {
  const int priority = job.route.priority;
  if (order_ == QueueOrder::kPriority || priority == kMostUrgentPriority) {
    return {job.late, priority, TimePoint{}, job.number};
  }
  return {job.late, kMostUrgentPriority + 1, job.deadlines.latest_start,
          job.number};
}

void JobQueue::MarkLate(OpenStepJob& job) {
  Erase(job);
  job.late = true;
  Insert(job);
}

std::vector<JobNumber> JobQueue::Jobs() const {
  std::vector<JobNumber> jobs;
  jobs.reserve(keys_.size());
  for (const Key& key : keys_) jobs.push_back(key.number);
  return jobs;
}

std::vector<JobNumber> JobQueue::LateJobs() const {
  std::vector<JobNumber> jobs;
  for (auto key = keys_.rbegin(); key != keys_.rend() && key->late; ++key) {
    jobs.push_back(key->number);
  }
  return {jobs.rbegin(), jobs.rend()};
}

double JobQueue::WaitingCoreMs(
    const std::map<JobNumber, OpenStepJob>& jobs) const {
  double sum = 0;
  for (const Key& key : keys_) sum += jobs.at(key.number).WaitingCoreMs();
  return sum;
}

Backlog JobQueue::EstimateBacklog(const OpenStepJob& job,
                                  const std::map<JobNumber, OpenStepJob>& jobs,
                                  double cores) const {
  const Key own = KeyOf(job);
  double in_time = 0;
  double total = 0;
  for (const Key& key : keys_) {
    const double core_ms = jobs.at(key.number).WaitingCoreMs();
    total += core_ms;
    if (!key.late && key < own) in_time += core_ms;
  }
  return {Duration(static_cast<std::int64_t>(in_time / cores)),
          Duration(static_cast<std::int64_t>(total / cores))};
}

}  // namespace geranium
