#ifndef GERANIUM_WORKER_ATTEMPT_HISTORY_H_
#define GERANIUM_WORKER_ATTEMPT_HISTORY_H_

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace geranium {

/// What became of an attempt at its worker, once and for all.
enum class AttemptDecision {
  kStarted,
  kDropped,  ///< The entry was told that it has not started and never will.
};

/// Remembers the fates of attempts for a time, so that a message that comes
/// late or twice changes none. Of older attempts it knows only that they may
/// have had one.
class AttemptHistory {
 public:
  static constexpr Duration kRetention{60'000};

  /// Settles an attempt; false if it was settled before.
  bool Record(const AttemptId& id, AttemptDecision decision, TimePoint now);
  /// A started attempt that turned out not to have reached its backend server.
  void MarkDropped(const AttemptId& id) {
    decisions_[id] = AttemptDecision::kDropped;
  }

  std::optional<AttemptDecision> Find(const AttemptId& id) const;
  /// True if the attempt is so old that its decision may have been forgotten.
  bool MayBeEvicted(const AttemptId& id) const;

  /// Forgets old fates, but not those for which `is_open` holds.
  template <class Predicate>
  void EvictOld(TimePoint now, Predicate is_open) {
    while (!order_.empty() && now - order_.front().first > kRetention &&
           !is_open(order_.front().second)) {
      EvictOldest();
    }
  }

 private:
  void EvictOldest();

  std::unordered_map<AttemptId, AttemptDecision> decisions_;
  std::deque<std::pair<TimePoint, AttemptId>> order_;
  // The highest number of each entry's forgotten attempts.
  std::map<Incarnation, std::uint64_t> newest_evicted_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_ATTEMPT_HISTORY_H_
