#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

namespace geranium {

bool StepEntryNode::CancelJob(const StepJobId& job, TimePoint now) {
  // The others have been told, or will be when they are linked again.
  if (IsCancelled(job)) return true;
  const bool is_open_here = scheduler_.Cancel(job, now);
  const bool is_known = is_open_here || IsHeldElsewhere(job, now);
  if (is_known) {
    cancelled_jobs_.Keep(job, now);
    for (const auto& [entry, link] : entry_links_) {
      Send(link, JobsCancelled{{job}});
    }
  }
  CollectActions(now);
  return is_known;
}

bool StepEntryNode::IsHeldElsewhere(const StepJobId& job, TimePoint now) const {
  const KnownJob* known = known_jobs_.Find(job);
  if (known == nullptr) return false;
  const std::vector<Incarnation>& holders = known->holders;
  return std::any_of(holders.begin(), holders.end(),
                     [&](Incarnation entry) { return !IsLost(entry, now); });
}

void StepEntryNode::On(LinkId /*link*/, const JobsCancelled& cancelled,
                       TimePoint now) {
  for (const StepJobId& job : cancelled.jobs) {
    if (IsCancelled(job)) continue;
    scheduler_.Cancel(job, now);
    cancelled_jobs_.Keep(job, now);
  }
}

}  // namespace geranium
