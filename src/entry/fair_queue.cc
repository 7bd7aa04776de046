#include "entry/fair_queue.h"

namespace geranium {

FairQueue::Team& FairQueue::Activate(const TeamName& name, int weight) {
  const auto [position, is_new] = teams_.try_emplace(name);
  Team& team = position->second;
  team.weight = weight;
  if (is_new) round_.push_back(name);
  return team;
}

void FairQueue::PushBack(const TeamName& team, int weight, TaskRef task) {
  Activate(team, weight).tasks.push_back(task);
  ++size_;
}

void FairQueue::PushFront(const TeamName& team, int weight, TaskRef task) {
  Activate(team, weight).tasks.push_front(task);
  ++size_;
}

std::optional<TaskRef> FairQueue::Peek() const {
  if (round_.empty()) return std::nullopt;
  return teams_.at(round_.front()).tasks.front();
}

std::optional<TaskRef> FairQueue::Pop() {
  if (round_.empty()) return std::nullopt;
  const TeamName name = round_.front();
  Team& team = teams_.at(name);
  if (team.deficit == 0) team.deficit = team.weight;
  const TaskRef task = team.tasks.front();
  team.tasks.pop_front();
  --team.deficit;
  --size_;
  if (team.tasks.empty()) {
    round_.pop_front();
    teams_.erase(name);
  } else if (team.deficit == 0) {
    round_.splice(round_.end(), round_, round_.begin());
  }
  return task;
}

}  // namespace geranium
