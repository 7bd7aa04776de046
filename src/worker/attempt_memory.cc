#include "worker/attempt_memory.h"

#include <algorithm>

namespace geranium {

bool AttemptMemory::Settle(const AttemptId& id, AttemptFate fate,
                           TimePoint now) {
  if (!fates_.emplace(id, fate).second) return false;
  order_.emplace_back(now, id);
  return true;
}

std::optional<AttemptFate> AttemptMemory::Find(const AttemptId& id) const {
  const auto found = fates_.find(id);
  if (found == fates_.end()) return std::nullopt;
  return found->second;
}

bool AttemptMemory::MayBeForgotten(const AttemptId& id) const {
  const auto found = forgotten_.find(id.entry);
  return found != forgotten_.end() && id.number <= found->second;
}

void AttemptMemory::ForgetOldest() {
  const AttemptId id = order_.front().second;
  order_.pop_front();
  fates_.erase(id);
  std::uint64_t& newest = forgotten_[id.entry];
  newest = std::max(newest, id.number);
}

}  // namespace geranium
