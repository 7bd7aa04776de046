#ifndef GERANIUM_ENTRY_POLICY_H_
#define GERANIUM_ENTRY_POLICY_H_

#include <algorithm>
#include <concepts>
#include <limits>
#include <variant>

#include "contract/task.h"

namespace geranium {

/// Properties of a task that a dispatch policy may use.
struct TaskTraits {
  TaskClass task_class = TaskClass::kNormal;
  bool repeatable = false;  ///< May run more than once.
};

/// Decides when and where an entry binds tasks to workers.
template <class T>
concept DispatchPolicy = requires(const T& policy, const TaskTraits& traits) {
  /// Number of workers to compare for one task.
  { policy.Choices(traits) } -> std::convertible_to<std::size_t>;
  /// Limit on one entry's waiting offers at a worker with that many slots.
  { policy.MaxWaitingOffers(traits, int{}) } -> std::convertible_to<int>;
  /// Whether an offer, to a worker with a free slot or not, carries the grant.
  { policy.GrantsWithOffer(traits, bool{}) } -> std::convertible_to<bool>;
};

/// Offers to the less loaded of two workers; binds when a slot is ready.
struct LateBinding {
  static constexpr std::size_t kChoices = 2;
  static constexpr std::size_t kUrgentChoices = 4;

  std::size_t Choices(const TaskTraits& traits) const {
    return traits.task_class == TaskClass::kUrgent ? kUrgentChoices : kChoices;
  }
  // One waiting offer is enough to learn of the next free slot; more would bind
  // tasks to this worker too early.
  int MaxWaitingOffers(const TaskTraits& traits, int slots) const {
    const bool urgent = traits.task_class == TaskClass::kUrgent;
    return urgent ? std::max(2, slots / 2) : 1;
  }
  bool GrantsWithOffer(const TaskTraits& traits, bool has_free_slot) const {
    return traits.repeatable && has_free_slot;
  }
};

/// Baseline for comparison: pushes each task to the least loaded worker.
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
