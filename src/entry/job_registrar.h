#ifndef GERANIUM_ENTRY_JOB_REGISTRAR_H_
#define GERANIUM_ENTRY_JOB_REGISTRAR_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/step_job.h"

namespace geranium {

/// Grants each job to one entry at a time; the others wait in order. Kept in
/// memory alone.
class JobRegistrar {
 public:
  struct Claim {
    Incarnation entry;
    std::uint64_t number = 0;
    TimePoint sent_at;  ///< On the entry's clock.
  };
  /// The claims of one job: the first is granted, the others wait.
  using Queue = std::vector<Claim>;

  /// Adds the claim, or renews an earlier one of the same entry; an older
  /// number changes nothing.
  const Queue& Add(const StepJobId& job, const Claim& claim);
  /// Returns true if another claim is granted instead.
  bool End(const StepJobId& job, Incarnation entry, std::uint64_t number);
  /// Moves the entry's claim, which gets a new number, behind all others.
  const Queue& Yield(const StepJobId& job, const Claim& next);
  /// Removes all claims of the entry but those of `kept` jobs; returns the jobs
  /// that are granted to others instead.
  std::vector<StepJobId> Remove(Incarnation entry,
                                const std::set<StepJobId>& kept);

  /// Null if the job is unclaimed.
  const Queue* Find(const StepJobId& job) const;
  const std::set<Incarnation>& entries() const { return entries_; }
  std::size_t size() const { return jobs_.size(); }

 private:
  std::unordered_map<StepJobId, Queue> jobs_;
  std::set<Incarnation> entries_;  ///< That may have claims.
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_JOB_REGISTRAR_H_
