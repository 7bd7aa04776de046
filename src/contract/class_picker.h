#ifndef GERANIUM_CONTRACT_CLASS_PICKER_H_
#define GERANIUM_CONTRACT_CLASS_PICKER_H_

#include <array>
#include <optional>

#include "contract/task.h"

namespace geranium {

/// Picks the class to serve next: the most urgent one that waits, but every
/// `kLeastUrgentInterval`-th time the least urgent, to keep it from starving.
class ClassPicker {
 public:
  static constexpr int kLeastUrgentInterval = 16;

  using Waiting = std::array<bool, kTaskClassCount>;

  /// The class to serve next; none if no class is waiting.
  std::optional<TaskClass> Pick(const Waiting& waiting) {
    const bool least_urgent_first =
        picks_since_least_urgent_ + 1 >= kLeastUrgentInterval;
    const auto found =
        least_urgent_first ? LeastUrgent(waiting) : MostUrgent(waiting);
    if (found) {
      picks_since_least_urgent_ =
          least_urgent_first ? 0 : picks_since_least_urgent_ + 1;
    }
    return found;
  }

 private:
  static std::optional<TaskClass> MostUrgent(const Waiting& waiting) {
    for (std::size_t i = 0; i < kTaskClassCount; ++i) {
      if (waiting[i]) return static_cast<TaskClass>(i);
    }
    return std::nullopt;
  }

  static std::optional<TaskClass> LeastUrgent(const Waiting& waiting) {
    for (std::size_t i = kTaskClassCount; i > 0; --i) {
      if (waiting[i - 1]) return static_cast<TaskClass>(i - 1);
    }
    return std::nullopt;
  }

  int picks_since_least_urgent_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_CLASS_PICKER_H_
