#ifndef GERANIUM_TESTS_SOAK_PROCESS_FAULTS_H_
#define GERANIUM_TESTS_SOAK_PROCESS_FAULTS_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "process/step_site.h"
#include "soak/event_schedule.h"
#include "soak/fault_proxy.h"
#include "soak/process_soak.h"

namespace geranium::soak {

/// Injects faults drawn from the seed into a site of real processes, and ends
/// them again. Records them, and processes that do not end when asked to.
class ProcessFaults {
 public:
  ProcessFaults(const ProcessSoakOptions& options, process::StepSite& site,
                FaultProxy& proxy, EventSchedule& events,
                ProcessSoakReport& report);

  /// Schedules faults from now on for the length of the run.
  void Schedule();
  int manifest_version() const { return version_; }

 private:
  enum class Role { kEntry, kAgent };
  struct Target {
    Role role = Role::kEntry;
    int index = 0;
    std::string Name() const;
  };

  /// A random selection of `share` of the processes of a role, at least one.
  std::vector<Target> RandomTargets(Role role, double share);
  Duration RandomDuration(std::int64_t least_ms, std::size_t range_ms);
  int RandomIndex(int count);
  int Count(Role role) const;
  void After(Duration delay, std::function<void()> event);

  void InjectFault();
  void Kill(const Target& target, Duration restart_delay);
  void Pause(const Target& target, Duration duration);
  void RunMaintenance(const Target& target);
  void PollExit(const Target& target, TimePoint since);
  void Restart(const Target& target, Duration delay);
  void InjectPathFault(Duration duration);
  void InjectStoreFault(Duration duration);
  void InjectWorkerFault(int worker, Duration duration);

  // Series, which overlap.
  void InjectSeries();
  void RejectAndReset(Duration duration);
  void StopMachines(Duration duration);
  void KillInSeries(int rounds);
  void CutCallers(Duration duration);
  void ResetInSeries(const std::vector<std::string>& paths, double share,
                     TimePoint end);

  void RecordFault(const std::string& kind, const std::string& detail);

  const ProcessSoakOptions& options_;
  process::StepSite& site_;
  FaultProxy& proxy_;
  EventSchedule& events_;
  ProcessSoakReport& report_;
  Random random_;
  SystemClock clock_;
  TimePoint start_;
  int version_ = 3;
  std::vector<std::string> paths_;
  std::set<std::string> unavailable_;  ///< Stopped or ending.
};

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_PROCESS_FAULTS_H_
