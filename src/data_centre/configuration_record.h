#ifndef GERANIUM_DATA_CENTRE_CONFIGURATION_RECORD_H_
#define GERANIUM_DATA_CENTRE_CONFIGURATION_RECORD_H_

#include <string>
#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "data_centre/configuration_state.h"

namespace geranium {

/// A new text, and the text version that it was edited from.
struct TextRecord {
  std::string text;
  Version edited_from;
};

/// A data centre taken out or brought back, and the version of its last
/// change that the operator saw.
struct DataCentreRecord {
  DataCentreName name;
  bool in = true;
  Version last_change;
};

/// All that is in force before offset `as_of`. Lets a reader begin there after
/// older records have passed their retention.
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
