#include "worker/attempt_history.h"

#include <algorithm>

namespace geranium {

bool AttemptHistory::Record(const AttemptId& id, AttemptDecision decision,
                            TimePoint now) {
  if (!decisions_.emplace(id, decision).second) return false;
  order_.emplace_back(now, id);
  return true;
}

std::optional<AttemptDecision> AttemptHistory::Find(const AttemptId& id) const {
  const auto found = decisions_.find(id);
  if (found == decisions_.end()) return std::nullopt;
  return found->second;
}

bool AttemptHistory::MayBeEvicted(const AttemptId& id) const {
  const auto found = newest_evicted_.find(id.entry);
  return found != newest_evicted_.end() && id.number <= found->second;
}

void AttemptHistory::EvictOldest() {
  const AttemptId id = order_.front().second;
  order_.pop_front();
  decisions_.erase(id);
  std::uint64_t& newest = newest_evicted_[id.entry];
  newest = std::max(newest, id.number);
}

}  // namespace geranium
