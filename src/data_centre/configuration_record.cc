#include "data_centre/configuration_record.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace geranium {
namespace {

using Json = nlohmann::json;

Json StateToJson(const ConfigurationState& state) {
  Json data_centres = Json::array();
  for (const DataCentreState& data_centre : state.data_centres) {
    data_centres.push_back({{"name", data_centre.name.value()},
                            {"in", data_centre.in},
                            {"changed", data_centre.changed.value()}});
  }
  return {{"version", state.version.value()},
          {"text_version", state.text_version.value()},
          {"text", state.text},
          {"data_centres", std::move(data_centres)}};
}

ConfigurationState StateFromJson(const Json& json) {
  ConfigurationState state;
  state.version = Version(json.at("version").get<std::int64_t>());
  state.text_version = Version(json.at("text_version").get<std::int64_t>());
  state.text = json.at("text").get<std::string>();
  for (const Json& item : json.at("data_centres")) {
    state.data_centres.push_back(
        {DataCentreName(item.at("name").get<std::string>()),
         item.at("in").get<bool>(),
         Version(item.at("changed").get<std::int64_t>())});
  }
  return state;
}

Json ToJson(const TextRecord& record) {
  return {{"type", "text"},
          {"text", record.text},
          {"edited_from", record.edited_from.value()}};
}

Json ToJson(const DataCentreRecord& record) {
  return {{"type", "data_centre"},
          {"name", record.name.value()},
          {"in", record.in},
          {"last_change", record.last_change.value()}};
}

Json ToJson(const SnapshotRecord& record) {
  return {{"type", "snapshot"},
          {"state", StateToJson(record.state)},
          {"as_of", record.as_of.value()}};
}

ConfigurationRecord FromJson(const Json& json) {
  const auto type = json.at("type").get<std::string>();
  if (type == "text") {
    return TextRecord{json.at("text").get<std::string>(),
                      Version(json.at("edited_from").get<std::int64_t>())};
  }
  if (type == "data_centre") {
    return DataCentreRecord{
        DataCentreName(json.at("name").get<std::string>()),
        json.at("in").get<bool>(),
        Version(json.at("last_change").get<std::int64_t>())};
  }
  if (type == "snapshot") {
    return SnapshotRecord{StateFromJson(json.at("state")),
                          LogOffset(json.at("as_of").get<std::int64_t>())};
  }
  throw std::invalid_argument("unknown record type '" + type + "'");
}

}  // namespace

std::string EncodeRecord(const ConfigurationRecord& record) {
  return std::visit([](const auto& typed) { return ToJson(typed).dump(); },
                    record);
}

Result<ConfigurationRecord> DecodeRecord(const std::string& body) {
  try {
    return FromJson(Json::parse(body));
  } catch (const std::exception& error) {
    return Error{ErrorCode::kMalformed, "decode configuration record", "log",
                 error.what(), Execution::kNotRun};
  }
}

}  // namespace geranium
