#ifndef GERANIUM_CONTRACT_CLASS_PICKER_H_
#define GERANIUM_CONTRACT_CLASS_PICKER_H_

#include <array>
#include <optional>

#include "contract/task.h"

namespace geranium {

/// Decides which class is served next: the most urgent that waits, but every
/// `kShareOfLowest`-th time the least urgent, so that it never starves.
class ClassPicker {
 public:
  static constexpr int kShareOfLowest = 16;

  using Waiting = std::array<bool, kTaskClasses>;

  /// The class to serve of those that wait; none if none waits.
  std::optional<TaskClass> Pick(const Waiting& waiting) {
    const bool lowest_first = turn_ + 1 >= kShareOfLowest;
    const auto found = lowest_first ? Lowest(waiting) : Highest(waiting);
    if (found) turn_ = lowest_first ? 0 : turn_ + 1;
    return found;
  }

 private:
  static std::optional<TaskClass> Highest(const Waiting& waiting) {
    for (std::size_t i = 0; i < kTaskClasses; ++i) {
      if (waiting[i]) return static_cast<TaskClass>(i);
    }
    return std::nullopt;
  }

  static std::optional<TaskClass> Lowest(const Waiting& waiting) {
    for (std::size_t i = kTaskClasses; i > 0; --i) {
      if (waiting[i - 1]) return static_cast<TaskClass>(i - 1);
    }
    return std::nullopt;
  }

  int turn_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_CLASS_PICKER_H_
