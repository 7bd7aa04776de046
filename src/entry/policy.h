#ifndef GERANIUM_ENTRY_POLICY_H_
#define GERANIUM_ENTRY_POLICY_H_

#include <algorithm>
#include <concepts>
#include <limits>
#include <variant>

#include "contract/task.h"

namespace geranium {

/// What a policy may know of a task.
struct TaskTraits {
  TaskClass task_class = TaskClass::kNormal;
  bool repeatable = false;  ///< May run more than once.
};

/// How an entry binds tasks to workers.
template <class T>
concept DispatchPolicy = requires(const T& policy, const TaskTraits& traits) {
  /// Workers to compare for one task.
  { policy.Choices(traits) } -> std::convertible_to<std::size_t>;
  /// Offers of one entry that may wait at a worker with that many slots.
  { policy.MaxWaitingOffers(traits, int{}) } -> std::convertible_to<int>;
  /// Whether the offer is the grant too, for a worker with free slots or not.
  { policy.GrantsWithOffer(traits, bool{}) } -> std::convertible_to<bool>;
};

/// Offers to the better of two workers; grants when one of them is ready.
struct LateBinding {
  static constexpr std::size_t kChoices = 2;
  static constexpr std::size_t kUrgentChoices = 4;

  std::size_t Choices(const TaskTraits& traits) const {
    return traits.task_class == TaskClass::kUrgent ? kUrgentChoices : kChoices;
  }
  // One offer that waits is enough to be told of the next free slot; any more
  // would be bound too early.
  int MaxWaitingOffers(const TaskTraits& traits, int slots) const {
    const bool urgent = traits.task_class == TaskClass::kUrgent;
    return urgent ? std::max(2, slots / 2) : 1;
  }
  bool GrantsWithOffer(const TaskTraits& traits, bool has_free_slot) const {
    return traits.repeatable && has_free_slot;
  }
};

/// The baseline: pushes each task at once to the least loaded worker.
struct PushToLeastLoaded {
  static constexpr int kQueuePerSlot = 2;

  std::size_t Choices(const TaskTraits& /*traits*/) const {
    return std::numeric_limits<std::size_t>::max();
  }
  int MaxWaitingOffers(const TaskTraits& /*traits*/, int slots) const {
    return slots * kQueuePerSlot;
  }
  bool GrantsWithOffer(const TaskTraits& /*traits*/,
                       bool /*has_free_slot*/) const {
    return true;
  }
};

static_assert(DispatchPolicy<LateBinding>);
static_assert(DispatchPolicy<PushToLeastLoaded>);

using PolicyChoice = std::variant<LateBinding, PushToLeastLoaded>;

}  // namespace geranium

#endif  // GERANIUM_ENTRY_POLICY_H_
