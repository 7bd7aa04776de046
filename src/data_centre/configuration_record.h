#ifndef GERANIUM_DATA_CENTRE_CONFIGURATION_RECORD_H_
#define GERANIUM_DATA_CENTRE_CONFIGURATION_RECORD_H_

#include <string>
#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "data_centre/configuration_state.h"

namespace geranium {

/// A new configuration text and the text version that it was edited from.
struct TextRecord {
  std::string text;
  Version edited_from;
};

/// Takes a data centre out of service or puts it back. `last_change` is the
/// version of its newest change that the operator knew.
struct DataCentreRecord {
  DataCentreName name;
  bool in = true;
  Version last_change;
};

/// The state before offset `as_of`. Lets a reader start there after older
/// records have expired.
struct SnapshotRecord {
  ConfigurationState state;
  LogOffset as_of;
};

using ConfigurationRecord =
    std::variant<TextRecord, DataCentreRecord, SnapshotRecord>;

/// The JSON body of a record on the configuration stream.
std::string EncodeRecord(const ConfigurationRecord& record);
Result<ConfigurationRecord> DecodeRecord(const std::string& body);

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_CONFIGURATION_RECORD_H_
