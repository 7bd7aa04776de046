#ifndef GERANIUM_TESTS_SOAK_SOAK_H_
#define GERANIUM_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "data_centre/freshness.h"
#include "entry/policy.h"

namespace geranium::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  Duration length{30'000};  ///< Simulated time with faults.
  LogOutageRule log_outage_rule = LogOutageRule::kMajority;
  PolicyChoice policy;
};

struct SoakReport {
  std::map<std::string, std::uint64_t> faults;
  std::uint64_t starts = 0;
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::optional<std::string> violation;
  std::string timeline;  ///< Events up to the violation.
};

/// The faults that a sufficiently long run must inject.
const std::vector<std::string>& RequiredFaults();

/// Runs one randomised simulation; the same options give the same run.
/// `OptionsForSeed` derives the log outage rule and the policy from the seed.
SoakReport RunSoak(const SoakOptions& options);
SoakOptions OptionsForSeed(std::uint64_t seed);

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_SOAK_H_
