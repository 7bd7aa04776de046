#include "worker/capacity_hold.h"

#include <algorithm>

namespace geranium {
namespace {

/// Tolerance for rounding in sums of CPU shares.
constexpr double kCpuEpsilon = 1e-6;

}  // namespace

// One order for one freed run, whatever its size: the entry has then seen the
// freed cores, and whatever it did not order is of no use to it.
void CapacityHold::OnOrder(Incarnation entry, bool more_waiting,
                           TimePoint now) {
  if (limit_ <= Duration(0)) return;
  if (!more_waiting) {
    Drop(entry);
    return;
  }
  if (waiting_.size() < kMaxWaitingEntries) waiting_.insert(entry);
  const auto oldest =
      std::find_if(holds_.begin(), holds_.end(), [&](const Hold& hold) {
        return hold.entry == entry && now <= hold.until;
      });
  if (oldest != holds_.end()) holds_.erase(oldest);
}

bool CapacityHold::OnRunEnded(Incarnation entry, double cpu, TimePoint now) {
  if (!waiting_.contains(entry) || !(cpu > 0)) return false;
  if (holds_.size() >= kMaxHolds) return false;
  holds_.push_back(Hold{entry, cpu, now + limit_});
  return true;
}

bool CapacityHold::Drop(Incarnation entry) {
  waiting_.erase(entry);
  return std::erase_if(
             holds_, [&](const Hold& hold) { return hold.entry == entry; }) > 0;
}

// Otherwise cores that are in use again would hide other cores, freed later,
// from every entry.
void CapacityHold::LimitTo(double free_cpu) {
  double excess = -free_cpu;
  for (const Hold& hold : holds_) excess += hold.cpu;
  while (!holds_.empty() && excess + kCpuEpsilon >= holds_.front().cpu) {
    excess -= holds_.front().cpu;
    holds_.pop_front();
  }
  if (!holds_.empty() && excess > 0) holds_.front().cpu -= excess;
}

std::size_t CapacityHold::Expire(TimePoint now) {
  return std::erase_if(holds_,
                       [&](const Hold& hold) { return now > hold.until; });
}

double CapacityHold::HeldFrom(Incarnation entry, TimePoint now) const {
  double held = 0;
  for (const Hold& hold : holds_) {
    if (hold.entry != entry && now <= hold.until) held += hold.cpu;
  }
  return held;
}

std::optional<TimePoint> CapacityHold::next_expiry() const {
  if (holds_.empty()) return std::nullopt;
  return holds_.front().until;
}

}  // namespace geranium
