#include "runtime/operator_api.h"

#include <nlohmann/json.hpp>

#include "runtime/answers.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

std::string_view Name(BackendHealth health) {
  switch (health) {
    case BackendHealth::kAnswering:
      return "answering";
    case BackendHealth::kUnresponsive:
      return "quiet";
    case BackendHealth::kFailing:
      return "failing";
  }
  return "quiet";
}

std::string_view Name(TrustLevel trust_level) {
  switch (trust_level) {
    case TrustLevel::kTrusted:
      return "trusted";
    case TrustLevel::kQuarantined:
      return "quarantined";
    case TrustLevel::kProbation:
      return "probation";
  }
  return "quarantined";
}

Json AgeToJson(std::optional<Duration> age) {
  return age ? Json(age->ms()) : Json(nullptr);
}

Json WorkerToJson(const WorkerView& worker, TimePoint now) {
  return {{"worker", worker.profile.id.value()},
          {"data_centre", worker.profile.data_centre.value()},
          {"http_address", worker.http_address},
          {"linked", worker.link.has_value()},
          {"version", worker.version.value()},
          {"slots", worker.profile.slots},
          {"running", worker.load.running},
          {"queued", worker.load.queued},
          {"backend", Name(worker.load.health)},
          {"leaving", worker.load.leaving},
          {"standing", Name(worker.outcomes.TrustLevelAt(now))},
          {"heard_ms_ago", (now - worker.last_heard).ms()}};
}

Json ServiceStatusToJson(const ServiceStatus& status) {
  Json missing = Json::array();
  for (const ServiceName& name : status.missing_dependencies) {
    missing.push_back(name.value());
  }
  return {{"data_centre", status.data_centre.value()},
          {"in", status.data_centre_in},
          {"available", status.available},
          {"workers", status.workers},
          {"answering", status.answering},
          {"quiet", status.quiet},
          {"failing", status.failing},
          {"leaving", status.leaving},
          {"quarantined", status.quarantined},
          {"missing_dependencies", std::move(missing)}};
}

Json DataCentresToJson(const ConfigurationState& state) {
  Json json = Json::array();
  for (const DataCentreState& data_centre : state.data_centres) {
    json.push_back({{"name", data_centre.name.value()},
                    {"in", data_centre.in},
                    {"changed", data_centre.changed.value()}});
  }
  return json;
}

Json EventsToJson(const EventRing& events, std::uint64_t after) {
  Json json = Json::array();
  for (const Event& event : events.After(after)) json.push_back(ToJson(event));
  return json;
}

}  // namespace

Json EntryStatus(const EntryNode& node, TimePoint now) {
  const WorkerTable& table = node.dispatcher().workers();
  Json workers = Json::array();
  for (const auto& [id, worker] : table.workers()) {
    workers.push_back(WorkerToJson(worker, now));
  }
  Json services = Json::object();
  for (const auto& [name, spec] :
       node.configuration().service_config().services) {
    Json statuses = Json::array();
    for (const ServiceStatus& status : table.ServiceStatuses(name, now)) {
      statuses.push_back(ServiceStatusToJson(status));
    }
    services[name.value()] = std::move(statuses);
  }
  Json entries = Json::array();
  for (const auto& [link, peer] : node.peers()) {
    if (!peer.hello || peer.hello->role != ProcessRole::kEntry) continue;
    entries.push_back({{"entry", peer.hello->name},
                       {"http_address", peer.hello->http_address},
                       {"version", peer.version.value()}});
  }
  const ConfigurationState& state = node.configuration().state();
  return {{"entry", node.options().id.value()},
          {"incarnation", ToString(node.options().incarnation)},
          {"version", state.version.value()},
          {"text_version", state.text_version.value()},
          {"fresh", node.IsFresh(now)},
          {"confirmed_ms_ago", AgeToJson(node.FreshnessAge(now))},
          {"leaving", node.leaving()},
          {"data_centres", DataCentresToJson(state)},
          {"open_jobs", node.dispatcher().open_jobs()},
          {"waiting_tasks", node.dispatcher().waiting_tasks()},
          {"entries", std::move(entries)},
          {"workers", std::move(workers)},
          {"services", std::move(services)}};
}

Json AgentStatus(const AgentNode& node, TimePoint now) {
  const WorkerLoad load = node.Load(std::nullopt, now);
  const AgentOptions& options = node.options();
  const auto version = node.gate().configuration().version();
  return {{"worker", options.profile.id.value()},
          {"incarnation", ToString(options.incarnation)},
          {"data_centre", options.profile.data_centre.value()},
          {"version", version.value()},
          {"fresh", node.gate().IsFresh(now)},
          {"serving", node.IsServing(now)},
          {"backend", Name(load.health)},
          {"leaving", load.leaving},
          {"running", load.running},
          {"queued", load.queued}};
}

Json EntryEvents(const EntryNode& node, std::uint64_t after, TimePoint now) {
  Json offsets = Json::object();
  for (const auto& [link, peer] : node.peers()) {
    if (!peer.hello || !peer.clock_offset) continue;
    offsets[peer.hello->name] = peer.clock_offset->ms();
  }
  return {{"process", node.options().id.value()},
          {"role", "entry"},
          {"data_centre", ""},
          {"incarnation", ToString(node.options().incarnation)},
          {"now_ms", now.ms()},
          {"clock_offsets_ms", std::move(offsets)},
          {"events", EventsToJson(node.events(), after)}};
}

Json AgentEvents(const AgentNode& node, std::uint64_t after, TimePoint now) {
  return {{"process", node.options().profile.id.value()},
          {"role", "agent"},
          {"data_centre", node.options().profile.data_centre.value()},
          {"incarnation", ToString(node.options().incarnation)},
          {"now_ms", now.ms()},
          {"clock_offsets_ms", Json::object()},
          {"events", EventsToJson(node.events(), after)}};
}

Result<LogBatch> ParsePushedRecord(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    LogRecord record;
    record.offset = LogOffset(json.at("offset").get<std::int64_t>());
    record.id = RecordId(json.at("id").get<std::string>());
    record.age = Duration(json.at("age_ms").get<std::int64_t>());
    record.body = json.at("body").get<std::string>();
    LogBatch batch;
    batch.first = LogOffset(1);
    batch.next = LogOffset(record.offset.value() + 1);
    batch.records.push_back(std::move(record));
    return batch;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kMalformed, "read record", "operator", error.what(),
                 Execution::kNotRun};
  }
}

}  // namespace geranium
