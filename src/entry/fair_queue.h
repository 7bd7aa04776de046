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

/// The waiting tasks of one service and class: deficit round robin over the
/// teams, weighted by team; first in, first out within a team.
class FairQueue {
 public:
  void PushBack(const TeamName& team, int weight, TaskRef task);
  /// Returns a popped task to the head of its team's queue.
  void PushFront(const TeamName& team, int weight, TaskRef task);
  std::optional<TaskRef> Pop();
  /// The task that `Pop` would return.
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
