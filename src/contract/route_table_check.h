#ifndef GERANIUM_CONTRACT_ROUTE_TABLE_CHECK_H_
#define GERANIUM_CONTRACT_ROUTE_TABLE_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/route_manifest.h"

namespace geranium {

enum class FindingSeverity { kError, kWarning, kChange };

std::string_view Name(FindingSeverity severity);

struct RouteFinding {
  FindingSeverity severity = FindingSeverity::kError;
  std::string message;  ///< One line.
};

/// Sizes of a submission's body, in bytes.
struct BodyBounds {
  std::int64_t smallest_job = 0;  ///< The smallest body that is a valid job.
  std::int64_t hard_limit = 0;    ///< The server rejects larger bodies.
};

/// Finds mistakes in a manifest before it is published.
class RouteTableCheck {
 public:
  explicit RouteTableCheck(BodyBounds bounds) : bounds_(bounds) {}

  /// The findings on `manifest`, errors first. `in_force` may be null.
  std::vector<RouteFinding> Run(const RouteManifest& manifest,
                                const RouteManifest* in_force) const;

 private:
  BodyBounds bounds_;
};

bool HasErrors(const std::vector<RouteFinding>& findings);

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_ROUTE_TABLE_CHECK_H_
