#include "entry/fair_queue.h"

namespace geranium {

FairQueue::Team& FairQueue::ActivateTeam(const TeamName& name, int weight) {
  const auto [position, is_new] = teams_.try_emplace(name);
  Team& team = position->second;
  team.weight = weight;
  if (is_new) active_teams_.push_back(name);
  return team;
}

void FairQueue::PushBack(const TeamName& team, int weight, TaskRef task) {
  ActivateTeam(team, weight).tasks.push_back(task);
  ++size_;
}

void FairQueue::PushFront(const TeamName& team, int weight, TaskRef task) {
  ActivateTeam(team, weight).tasks.push_front(task);
  ++size_;
}

std::optional<TaskRef> FairQueue::Peek() const {
  if (active_teams_.empty()) return std::nullopt;
  return teams_.at(active_teams_.front()).tasks.front();
}

std::optional<TaskRef> FairQueue::Pop() {
  if (active_teams_.empty()) return std::nullopt;
  const TeamName name = active_teams_.front();
  Team& team = teams_.at(name);
  if (team.deficit == 0) team.deficit = team.weight;
  const TaskRef task = team.tasks.front();
  team.tasks.pop_front();
  --team.deficit;
  --size_;
  if (team.tasks.empty()) {
    active_teams_.pop_front();
    teams_.erase(name);
  } else if (team.deficit == 0) {
    active_teams_.splice(active_teams_.end(), active_teams_,
                         active_teams_.begin());
  }
  return task;
}

}  // namespace geranium
