#ifndef GERANIUM_CONTRACT_ROUTE_MANIFEST_H_
#define GERANIUM_CONTRACT_ROUTE_MANIFEST_H_

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "contract/route_table.h"

namespace geranium {

/// What an operator's manifest says, as entries read it.
struct RouteManifest {
  RouteTable table;  ///< Without the routes that have an invalid field.
  /// The services that the manifest names; no value if it has no list.
  std::optional<std::vector<ServiceName>> services;
  /// Missing or invalid fields, for which entries ignore the manifest.
  std::vector<std::string> invalid_fields;
  /// Invalid fields in whose place entries use the default.
  std::vector<std::string> defaulted_fields;
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_ROUTE_MANIFEST_H_
