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
  int port = 28'000;  ///< The first of 300 that the run uses.
  int entries = 3;
  int workers = 5;
  int callers = 12;
  Duration length{8000};  ///< Of the part with faults.
  /// Only planned work strikes: signals to end and to reload, and changes.
  bool is_maintenance_only = false;
};

/// What callers and workers saw in one run.
struct ProcessSoakReport {
  std::map<std::string, int> faults;  ///< That struck, by kind.
  int completed = 0;
  int refused = 0;
  int resubmitted = 0;  ///< After an answer that was lost.
  std::vector<std::string> violations;
  std::vector<std::string> events;  ///< Faults with their times.
};

/// Starts a site of real processes behind a proxy, hands in jobs over open
/// connections and strikes with faults drawn from the seed, in series and
/// overlapping. Checks that no task runs twice at a time, no worker is filled
/// beyond its capacity or started after it said that it leaves, refusals are
/// true, no sound job is shown as failed, planned work cuts off no request, no
/// process ends by itself, and that all is served again after the faults.
ProcessSoakReport RunProcessSoak(const ProcessSoakOptions& options);

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_PROCESS_SOAK_H_
