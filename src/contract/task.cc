#include "contract/task.h"

#include <utility>

namespace geranium {
namespace {

constexpr std::array<std::string_view, kTaskClassCount> kClassNames = {
    "urgent", "normal", "bulk"};

}  // namespace

std::string_view Name(TaskClass task_class) {
  return kClassNames[static_cast<std::size_t>(task_class)];
}

std::optional<TaskClass> ParseTaskClass(std::string_view name) {
  for (std::size_t i = 0; i < kTaskClassCount; ++i) {
    if (kClassNames[i] == name) return static_cast<TaskClass>(i);
  }
  return std::nullopt;
}

Resources& Resources::operator+=(const Resources& other) {
  cpu += other.cpu;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu -= other.cpu;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

TaskOutcome TaskOutcome::Failure(Error error) {
  TaskOutcome outcome;
  outcome.error = std::move(error);
  return outcome;
}

}  // namespace geranium
