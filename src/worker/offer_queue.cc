#include "worker/offer_queue.h"

namespace geranium {
namespace {

std::size_t Index(TaskClass task_class) {
  return static_cast<std::size_t>(task_class);
}

}  // namespace

void OfferQueue::Add(const AttemptId& attempt, TaskClass task_class,
                     TimePoint deadline) {
  classes_[Index(task_class)].insert({deadline, attempt});
}

void OfferQueue::Remove(const AttemptId& attempt, TaskClass task_class,
                        TimePoint deadline) {
  classes_[Index(task_class)].erase({deadline, attempt});
}

std::optional<AttemptId> OfferQueue::Pop(bool urgent_only) {
  ClassPicker::Waiting waiting{};
  for (std::size_t i = 0; i < kTaskClassCount; ++i) {
    const bool allowed = !urgent_only || i == Index(TaskClass::kUrgent);
    waiting[i] = allowed && !classes_[i].empty();
  }
  const auto task_class = picker_.Pick(waiting);
  if (!task_class) return std::nullopt;
  auto& queue = classes_[Index(*task_class)];
  const AttemptId attempt = queue.begin()->attempt;
  queue.erase(queue.begin());
  return attempt;
}

std::size_t OfferQueue::size() const {
  std::size_t total = 0;
  for (const auto& queue : classes_) total += queue.size();
  return total;
}

}  // namespace geranium
