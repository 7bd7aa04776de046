#ifndef GERANIUM_STANDINS_STEP_SIMULATOR_PARTS_H_
#define GERANIUM_STANDINS_STEP_SIMULATOR_PARTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "step_simulator.h"

// Internals shared by the source files of StepSimulator.

namespace geranium::standins {

/// Host of the submitted jobs and service of the workers.
inline constexpr char kHost[] = "callers.example";
inline constexpr char kService[] = "desk";
inline constexpr std::size_t kJobIdLength = 16;
/// Of one job, counting copies of its requests, which are numbered from
/// `kFirstCopy`.
inline constexpr std::uint64_t kMaxSubmissions = 1000;
inline constexpr std::uint64_t kFirstCopy = 900;

struct StepSimulator::Agent {
  std::string name;
  std::unique_ptr<SizedWorker> worker;
  std::unique_ptr<WorkerSession> session;
  std::uint64_t incarnation = 0;
  std::uint64_t worker_life = 0;
  std::set<int> dialled_entries;
  bool alive = false;
  bool worker_alive = true;
  bool worker_refuses = false;  ///< Its process has ended: nothing listens.
  TimePoint frozen_until = TimePoint::Never();
  TimePoint silent_until = TimePoint::Never();  ///< Of the worker.
  Silence silence = Silence::kBothWays;
  TimePoint next_tick;
  TimePoint next_announcement;
};

struct StepSimulator::Entry {
  std::unique_ptr<StepEntryNode> node;
  std::uint64_t incarnation = 0;
  bool alive = false;
  TimePoint frozen_until = TimePoint::Never();
  TimePoint no_store_until = TimePoint::Never();
  TimePoint next_tick;
  std::map<CallerHandle, int> callers;
};

struct StepSimulator::Job {
  LoadClass kind;
  StepJob spec;
  TimePoint submitted_at;
  Duration objective;
  int entry = -1;
  std::uint64_t attempt = 0;
  std::uint64_t copies = 0;
  bool resends = true;
  std::optional<TimePoint> done_at;
  std::optional<TimePoint> answered_at;
  std::optional<StepAnswer> answer;
  bool refused = false;
  bool caller_left = false;
  bool connection_lost = false;  ///< A submission ended without an answer.
  bool always_fails = false;
  bool crashes_workers = false;
  int bystander_crashes = 0;  ///< Of workers that ran tasks of it.

  /// True for the handle of the newest submission.
  bool IsCurrent(CallerHandle caller) const {
    return caller.value() % kMaxSubmissions == attempt;
  }
};

struct StepSimulator::LinkEnds {
  /// Messages on their way to one end, in order.
  struct Direction {
    struct Arrival {
      TimePoint at;
      std::optional<Message> message;  ///< Unset: the sender closed its end.
    };
    std::deque<Arrival> arrivals;
    bool waiting = false;  ///< For the end of a partition or freeze.
  };

  int agent = -1;  ///< The first end; -1 if it is an entry.
  int first_entry = -1;
  int entry = -1;  ///< The second end.
  std::uint64_t first_incarnation = 0;
  std::uint64_t entry_incarnation = 0;
  bool first_open = true;
  bool second_open = true;
  Direction to_first{};
  Direction to_second{};
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_STEP_SIMULATOR_PARTS_H_
