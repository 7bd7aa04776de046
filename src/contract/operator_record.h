#ifndef GERANIUM_CONTRACT_OPERATOR_RECORD_H_
#define GERANIUM_CONTRACT_OPERATOR_RECORD_H_

#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "contract/route_table.h"

namespace geranium {

/// The operator takes a data centre out of service or puts it back.
struct DataCentreChange {
  DataCentreName name;
  bool out = false;
};

/// A record that is not used here (empty reason) or cannot be decoded.
struct IgnoredRecord {
  std::string key;
  std::string reason;
};

/// One record of the operator's log.
struct OperatorRecord {
  LogOffset offset;
  std::variant<RouteTable, DataCentreChange, IgnoredRecord> content;
};

/// The result of one read of the log from an offset on.
struct OperatorRecordBatch {
  std::vector<OperatorRecord> records;
  LogOffset end;         ///< One past the newest record of the log.
  bool expired = false;  ///< The requested offset is no longer retained.
};

/// One page of the list of the newest record of each key.
struct NewestRecordPage {
  std::vector<OperatorRecord> records;
  LogOffset end;
  std::string last_key;
  bool has_more = false;
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_OPERATOR_RECORD_H_
