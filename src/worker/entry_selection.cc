#include "worker/entry_selection.h"

#include <xxhash.h>

namespace geranium {
namespace {

// Rendezvous hashing: each pair of agent and entry has its own rank, so adding
// or removing an entry moves only the links that it gains or loses.
std::uint64_t Rank(const std::string& agent, const std::string& address) {
  const std::uint64_t seed = XXH64(agent.data(), agent.size(), 0);
  return XXH64(address.data(), address.size(), seed);
}

}  // namespace

bool EntrySelection::Add(const std::string& address, TimePoint now) {
  const auto [place, is_new] =
      order_.try_emplace(Rank(agent_, address), Candidate{address, false});
  if (is_new) Update(now);
  return is_new;
}

void EntrySelection::OnLinked(const std::string& address) {
  const auto found = order_.find(Rank(agent_, address));
  if (found != order_.end()) found->second.linked = true;
}

void EntrySelection::OnUnlinked(const std::string& address, TimePoint now) {
  const auto found = order_.find(Rank(agent_, address));
  if (found == order_.end()) return;
  found->second.linked = false;
  found->second.state_since = now;
}

// Selects the shortest prefix of the order with enough entries that are linked
// or may still connect. An unlinked one is still dialled beside its substitute.
void EntrySelection::Update(TimePoint now) {
  selected_.clear();
  std::size_t usable = 0;
  for (auto& [rank, candidate] : order_) {
    const bool wanted = usable < max_links_;
    if (wanted && !candidate.was_selected) candidate.state_since = now;
    candidate.was_selected = wanted;
    if (!wanted) continue;
    selected_.insert(candidate.address);
    if (candidate.linked || now - candidate.state_since <= kUnlinkedLimit)
      ++usable;
  }
}

}  // namespace geranium
