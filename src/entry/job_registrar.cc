#include "entry/job_registrar.h"

#include <algorithm>

namespace geranium {
namespace {

auto FindEntry(JobRegistrar::Queue& queue, Incarnation entry) {
  return std::find_if(queue.begin(), queue.end(),
                      [&](const auto& claim) { return claim.entry == entry; });
}

}  // namespace

const JobRegistrar::Queue& JobRegistrar::Add(const StepJobId& job,
                                             const Claim& claim) {
  Queue& queue = jobs_[job];
  entries_.insert(claim.entry);
  const auto own = FindEntry(queue, claim.entry);
  if (own == queue.end()) {
    queue.push_back(claim);
  } else if (claim.number >= own->number) {
    *own = claim;
  }
  return queue;
}

bool JobRegistrar::End(const StepJobId& job, Incarnation entry,
                       std::uint64_t number) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return false;
  Queue& queue = found->second;
  const auto own = FindEntry(queue, entry);
  if (own == queue.end() || own->number > number) return false;
  const bool was_granted = own == queue.begin();
  queue.erase(own);
  if (queue.empty()) {
    jobs_.erase(found);
    return false;
  }
  return was_granted;
}

const JobRegistrar::Queue& JobRegistrar::Yield(const StepJobId& job,
                                               const Claim& next) {
  Queue& queue = jobs_[job];
  entries_.insert(next.entry);
  const auto own = FindEntry(queue, next.entry);
  if (own != queue.end()) {
    if (own->number > next.number) return queue;
    queue.erase(own);
  }
  queue.push_back(next);
  return queue;
}

std::vector<StepJobId> JobRegistrar::Remove(Incarnation entry,
                                            const std::set<StepJobId>& kept) {
  std::vector<StepJobId> granted;
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    Queue& queue = job->second;
    const auto own = FindEntry(queue, entry);
    if (own == queue.end() || kept.contains(job->first)) {
      ++job;
      continue;
    }
    const bool was_granted = own == queue.begin();
    queue.erase(own);
    if (was_granted && !queue.empty()) granted.push_back(job->first);
    job = queue.empty() ? jobs_.erase(job) : std::next(job);
  }
  if (kept.empty()) entries_.erase(entry);
  return granted;
}

const JobRegistrar::Queue* JobRegistrar::Find(const StepJobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

}  // namespace geranium
