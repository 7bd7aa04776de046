#include "operator/site_client.h"

#include <chrono>
#include <set>
#include <thread>
#include <utility>

#include "runtime/http_client.h"
#include "runtime/log_client.h"
#include "settings/process_settings.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

constexpr Duration kStatusTimeout{2000};
constexpr Duration kRereadInterval{100};

void Sleep(Duration span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.ms()));
}

HttpCall EntryCall(const std::string& address, const std::string& method,
                   const std::string& target, std::string body = "") {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.target = target;
  call.body = std::move(body);
  call.timeout = kStatusTimeout;
  return call;
}

ChangeOutcome ToOutcome(const ConfigurationReader::Decision& decision) {
  ChangeOutcome outcome;
  outcome.version = Version(decision.offset.value());
  switch (decision.verdict) {
    case Verdict::kAccepted:
    case Verdict::kSnapshot:
      outcome.state = ChangeState::kAccepted;
      break;
    case Verdict::kConflict:
      outcome.state = ChangeState::kConflict;
      outcome.message = "a newer version is in force";
      break;
    case Verdict::kInvalid:
      outcome.state = ChangeState::kInvalid;
      outcome.message = "the record is invalid";
      break;
  }
  return outcome;
}

}  // namespace

const ConfigurationReader::Decision* ConfigurationHistory::FindDecision(
    const RecordId& id) const {
  for (const auto& decision : decisions) {
    if (decision.id == id) return &decision;
  }
  return nullptr;
}

const TextRecord* ConfigurationHistory::FindText(Version version) const {
  for (const auto& decision : decisions) {
    if (decision.offset.value() != version.value()) continue;
    return std::get_if<TextRecord>(&decision.record);
  }
  return nullptr;
}

Result<ConfigurationHistory> SiteClient::ReadConfiguration() const {
  ConfigurationHistory history;
  while (true) {
    BOOST_OUTCOME_TRY(batch, ReadLog(log_address_, LogStream::kConfiguration,
                                     history.reader.position()));
    for (auto& decision : history.reader.Read(batch, SystemClock().Now())) {
      history.decisions.push_back(std::move(decision));
    }
    if (history.reader.position() < batch.next) continue;
    if (history.reader.has_state()) return history;
    return Error{
        ErrorCode::kUnavailable, "read configuration", "log",
        "the log dropped its oldest records and no snapshot covers them",
        Execution::kNotRun};
  }
}

// The append is not retried: it may have been applied although its response
// was lost, so the log is read instead.
ChangeOutcome SiteClient::SubmitChange(const ConfigurationRecord& record,
                                       Duration timeout) const {
  const RecordId id("ctl-" + ToString(Incarnation(GenerateIncarnation())));
  const std::string body = EncodeRecord(record);
  const auto appended =
      AppendToLog(log_address_, LogStream::kConfiguration, id, body);
  const TimePoint deadline = SystemClock().Now() + timeout;
  ChangeOutcome outcome;
  while (true) {
    const auto history = ReadConfiguration();
    const auto* decision = history ? history.value().FindDecision(id) : nullptr;
    if (decision != nullptr) {
      SendToEntries(LogRecord{decision->offset, id, Duration(0), body});
      return ToOutcome(*decision);
    }
    outcome.message = !appended  ? appended.error().message
                      : !history ? history.error().message
                                 : "the record is not on the log yet";
    if (SystemClock().Now() >= deadline) return outcome;
    Sleep(kRereadInterval);
  }
}

void SiteClient::SendToEntries(const LogRecord& record) const {
  const Json json{{"offset", record.offset.value()},
                  {"id", record.id.value()},
                  {"age_ms", record.age.ms()},
                  {"body", record.body}};
  for (const std::string& address : entry_addresses_) {
    // Failures are ignored: the entry also reads the record from the log.
    (void)Fetch(
        EntryCall(address, "POST", "/v1/operator/records", json.dump()));
  }
}

std::map<std::string, Result<Json>> SiteClient::FetchStatuses() const {
  std::map<std::string, Result<Json>> statuses;
  for (const std::string& address : entry_addresses_) {
    const HttpOutcome outcome =
        Fetch(EntryCall(address, "GET", "/v1/operator/status"));
    const auto response = ToResult(outcome, "status", address);
    if (!response) {
      statuses.emplace(address, response.error());
      continue;
    }
    Json json = Json::parse(response.value().body, nullptr, false);
    if (json.is_object()) {
      statuses.emplace(address, std::move(json));
    } else {
      statuses.emplace(
          address, Error{ErrorCode::kMalformed, "status", address,
                         "response is not a JSON object", Execution::kNotRun});
    }
  }
  return statuses;
}

RolloutProgress SiteClient::FetchProgress(Version version) const {
  RolloutProgress progress;
  std::map<std::string, bool> workers;
  for (const auto& [address, status] : FetchStatuses()) {
    ++progress.entries;
    if (!status) {
      progress.missing.push_back(address + " (no answer)");
      continue;
    }
    const Json& json = status.value();
    if (json.at("version").get<std::int64_t>() >= version.value()) {
      ++progress.entries_in_force;
    } else {
      progress.missing.push_back(json.at("entry").get<std::string>());
    }
    for (const Json& worker : json.at("workers")) {
      if (!worker.at("linked").get<bool>()) continue;
      const bool in_force =
          worker.at("version").get<std::int64_t>() >= version.value();
      bool& known = workers[worker.at("worker").get<std::string>()];
      known = known || in_force;
    }
  }
  progress.workers = workers.size();
  for (const auto& [name, in_force] : workers) {
    if (in_force) {
      ++progress.workers_in_force;
    } else {
      progress.missing.push_back(name);
    }
  }
  return progress;
}

Result<int> SiteClient::DrainWorker(const std::string& worker) const {
  int accepted = 0;
  Error last{ErrorCode::kUnavailable, "drain worker", worker,
             "no entry address is configured", Execution::kNotRun};
  for (const std::string& address : entry_addresses_) {
    const HttpOutcome outcome = Fetch(EntryCall(
        address, "POST", "/v1/operator/workers/" + worker + "/drain"));
    const auto response = ToResult(outcome, "drain worker", address);
    if (!response) {
      last = response.error();
    } else if (response.value().status == 200) {
      ++accepted;
    } else {
      last.message = "no entry is connected to the worker";
    }
  }
  if (accepted == 0) return last;
  return accepted;
}

}  // namespace geranium
