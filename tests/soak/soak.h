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
  Duration length{30'000};  ///< Of faults, by the simulated clock.
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
  std::string timeline;  ///< What led to the violation.
};

/// The faults that a long enough run has to have injected.
const std::vector<std::string>& RequiredFaults();

/// One randomised run: the same seed gives the same run. The rule and policy
/// are options; `OptionsForSeed` draws them from the seed.
SoakReport RunSoak(const SoakOptions& options);
SoakOptions OptionsForSeed(std::uint64_t seed);

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_SOAK_H_
