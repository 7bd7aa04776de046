#ifndef GERANIUM_TESTS_RANDOM_STEP_FAULTS_H_
#define GERANIUM_TESTS_RANDOM_STEP_FAULTS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "step_simulator.h"

namespace geranium::standins {

/// A fault of a randomised run.
struct StepFault {
  TimePoint at;
  std::string description;
  std::function<void(StepSimulator&)> inject;
  bool cuts_entries = false;  ///< From each other, while agents reach them.
};

/// What the entries notice of connections that callers have lost.
enum class CallerLoss { kNoticed, kPartlyUnnoticed };

/// Draws overlapping faults of all kinds for a site of the given size.
class RandomStepFaults {
 public:
  RandomStepFaults(std::uint64_t seed, int entries, int workers,
                   Resources capacity, CallerLoss caller_loss);

  /// In order of time, all within `end`.
  std::vector<StepFault> Draw(int count, TimePoint begin, TimePoint end);
  /// Cuts of single entries from all other entries or from all processes, each
  /// over before the next one begins.
  std::vector<StepFault> DrawCuts(TimePoint begin, TimePoint end);

 private:
  using Inject = std::function<void(StepSimulator&)>;

  void Add(TimePoint at, std::string description, Inject inject);
  void AddBetweenEntries(TimePoint at);
  void AddCutEntries(TimePoint at);
  void AddCallers(TimePoint at);
  void AddLateOrders(TimePoint at);
  void AddSilence(TimePoint at);
  void AddRestart(TimePoint at);
  void AddKill(TimePoint at);
  void AddFreeze(TimePoint at);
  void AddCutAgent(TimePoint at);
  void AddCutFromEntries(TimePoint at, Duration span);
  void AddIsolation(TimePoint at, Duration span);

  Duration Between(std::int64_t low, std::int64_t high);
  double Share() { return 0.1 * static_cast<double>(1 + random_.Below(10)); }
  int Entry() { return static_cast<int>(random_.Below(entries_)); }
  int Worker() { return static_cast<int>(random_.Below(workers_)); }

  Random random_;
  std::size_t entries_;
  std::size_t workers_;
  Resources capacity_;
  CallerLoss caller_loss_;
  std::vector<StepFault> faults_;
};

}  // namespace geranium::standins

#endif  // GERANIUM_TESTS_RANDOM_STEP_FAULTS_H_
