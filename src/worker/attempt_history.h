#ifndef GERANIUM_WORKER_ATTEMPT_HISTORY_H_
#define GERANIUM_WORKER_ATTEMPT_HISTORY_H_

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace geranium {

/// Final decision on an attempt at its worker.
enum class AttemptDecision {
  kStarted,
  kDropped,  ///< Reported to the entry as not started; never starts.
};

/// Keeps the decisions on recent attempts, so that a late or duplicate message
/// cannot change them. For older attempts it only knows that a decision may
/// have been made.
class AttemptHistory {
 public:
  static constexpr Duration kRetention{60'000};

  /// Records a decision; returns false if there already was one.
  bool Record(const AttemptId& id, AttemptDecision decision, TimePoint now);
  /// Marks a started attempt as dropped; it never reached the backend server.
  void MarkDropped(const AttemptId& id) {
    decisions_[id] = AttemptDecision::kDropped;
  }

  std::optional<AttemptDecision> Find(const AttemptId& id) const;
  /// True if the attempt is so old that its decision may have been evicted.
  bool MayBeEvicted(const AttemptId& id) const;

  /// Evicts decisions older than `kRetention`, up to the first open attempt.
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
  // The highest evicted attempt number of each entry.
  std::map<Incarnation, std::uint64_t> newest_evicted_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_ATTEMPT_HISTORY_H_
