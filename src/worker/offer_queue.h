#ifndef GERANIUM_WORKER_OFFER_QUEUE_H_
#define GERANIUM_WORKER_OFFER_QUEUE_H_

#include <array>
#include <optional>
#include <set>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/class_picker.h"
#include "contract/task.h"

namespace geranium {

/// Queue of attempts waiting for a slot, by class and then by deadline.
class OfferQueue {
 public:
  void Add(const AttemptId& attempt, TaskClass task_class, TimePoint deadline);
  void Remove(const AttemptId& attempt, TaskClass task_class,
              TimePoint deadline);

  /// Removes and returns the next attempt; only a `kUrgent` one if
  /// `urgent_only`.
  std::optional<AttemptId> Pop(bool urgent_only);

  std::size_t size() const;
  bool HasUrgent() const { return !classes_[0].empty(); }

 private:
  struct Waiting {
    TimePoint deadline;
    AttemptId attempt;
    auto operator<=>(const Waiting&) const = default;
  };

  std::array<std::set<Waiting>, kTaskClassCount> classes_;
  ClassPicker picker_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_OFFER_QUEUE_H_
