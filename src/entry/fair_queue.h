#ifndef GERANIUM_ENTRY_FAIR_QUEUE_H_
#define GERANIUM_ENTRY_FAIR_QUEUE_H_

#include <deque>
#include <list>
#include <map>
#include <optional>

#include "base/ids.h"

namespace geranium {

/// One task of one job.
struct TaskRef {
  JobId job;
  std::uint32_t task = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/// The waiting tasks of one service and class. Teams share it by deficit round
/// robin, each by its weight; a team's own tasks keep their order.
class FairQueue {
 public:
  void PushBack(const TeamName& team, int weight, TaskRef task);
  /// Puts a task that was taken before back to the head of its team.
  void PushFront(const TeamName& team, int weight, TaskRef task);
  std::optional<TaskRef> Pop();
  /// What `Pop` would take.
  std::optional<TaskRef> Peek() const;

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

 private:
  struct Team {
    std::deque<TaskRef> tasks;
    int weight = 1;
    int deficit = 0;
  };

  Team& ActivateTeam(const TeamName& name, int weight);

  std::map<TeamName, Team> teams_;
  std::list<TeamName> active_teams_;
  std::size_t size_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_FAIR_QUEUE_H_
