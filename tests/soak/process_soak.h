#ifndef GERANIUM_TESTS_SOAK_PROCESS_SOAK_H_
#define GERANIUM_TESTS_SOAK_PROCESS_SOAK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace geranium::soak {

struct ProcessSoakOptions {
  std::uint64_t seed = 1;
  /// The first of the ports that the run uses: StepSite::CountPorts.
  int port = 28'000;
  int entries = 3;
  int workers = 5;
  int callers = 12;
  Duration length{8000};  ///< How long faults are injected.
  /// Injects only planned maintenance: SIGTERM, SIGHUP and new manifests.
  bool is_maintenance_only = false;
  /// Injects series of faults as well, which overlap: parts of the site stand
  /// still, are killed and restarted at once; workers reject orders while
  /// connections are reset; callers are cut off and go to other entries.
  bool has_series = false;
};

/// What callers and workers observed in one run.
struct ProcessSoakReport {
  std::map<std::string, int> faults;  ///< Injected, by kind.
  int completed = 0;
  int refused = 0;
  int resubmitted = 0;  ///< After a lost answer.
  std::vector<std::string> violations;
  std::vector<std::string> events;  ///< Faults with their times.
};

/// Starts a site of real processes behind a proxy, submits jobs over kept-alive
/// connections and injects faults drawn from the seed, in series and
/// overlapping. Checks that no task runs twice at a time, no worker is loaded
/// beyond its capacity or given tasks after it announced that it leaves, no
/// refused job has run, no valid job is reported as failed, maintenance
/// interrupts no request, no process exits by itself, and all entries serve
/// again after the faults.
ProcessSoakReport RunProcessSoak(const ProcessSoakOptions& options);

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_PROCESS_SOAK_H_
