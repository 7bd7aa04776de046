#include "data_centre/configuration.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace geranium {
namespace {

constexpr std::string_view kVerdictNames[] = {"accepted", "conflict", "invalid",
                                              "snapshot"};

Version VersionAt(LogOffset offset) { return Version(offset.value()); }

void SyncDataCentres(const ServiceConfig& config, Version version,
                     ConfigurationState& state) {
  std::erase_if(state.data_centres, [&](const DataCentreState& data_centre) {
    return !config.data_centres.contains(data_centre.name);
  });
  for (const auto& [name, spec] : config.data_centres) {
    if (FindDataCentre(state, name) != nullptr) continue;
    state.data_centres.push_back({name, true, version});
  }
}

Verdict Apply(LogOffset offset, const TextRecord& record,
              ConfigurationState& state) {
  const auto config = ParseServiceConfig(record.text);
  if (!config) return Verdict::kInvalid;
  if (record.edited_from != state.text_version) return Verdict::kConflict;
  state.text = record.text;
  state.text_version = VersionAt(offset);
  state.version = VersionAt(offset);
  SyncDataCentres(config.value(), VersionAt(offset), state);
  return Verdict::kAccepted;
}

Verdict Apply(LogOffset offset, const DataCentreRecord& record,
              ConfigurationState& state) {
  for (DataCentreState& data_centre : state.data_centres) {
    if (data_centre.name != record.name) continue;
    if (data_centre.changed != record.last_change) return Verdict::kConflict;
    data_centre.in = record.in;
    data_centre.changed = VersionAt(offset);
    state.version = VersionAt(offset);
    return Verdict::kAccepted;
  }
  return Verdict::kInvalid;
}

Verdict Apply(LogOffset /*offset*/, const SnapshotRecord& /*record*/,
              ConfigurationState& /*state*/) {
  return Verdict::kSnapshot;
}

}  // namespace

std::string_view Name(Verdict verdict) {
  return kVerdictNames[static_cast<std::size_t>(verdict)];
}

Verdict ApplyRecord(LogOffset offset, const ConfigurationRecord& record,
                    ConfigurationState& state) {
  return std::visit(
      [&](const auto& typed) { return Apply(offset, typed, state); }, record);
}

const DataCentreState* FindDataCentre(const ConfigurationState& state,
                                      const DataCentreName& name) {
  for (const DataCentreState& data_centre : state.data_centres) {
    if (data_centre.name == name) return &data_centre;
  }
  return nullptr;
}

std::vector<ConfigurationReader::Decision> ConfigurationReader::Read(
    const LogBatch& batch, TimePoint now) {
  if (position_ < batch.first) StartAt(batch.first);
  for (const LogRecord& record : batch.records) {
    if (record.offset != position_) continue;
    pending_.push_back({record, now - record.age});
    position_ = LogOffset(position_.value() + 1);
  }
  tail_ = batch.next;
  if (!has_state_ && !FindSnapshot()) return {};
  return ApplyPending();
}

std::vector<ConfigurationReader::Decision> ConfigurationReader::ApplyPending() {
  std::vector<Decision> decisions;
  for (const Pending& pending : pending_) decisions.push_back(Apply(pending));
  pending_.clear();
  return decisions;
}

// A state's version is the offset of its last change, so only the records
// after it are needed, whether or not those up to it are still retained.
std::vector<ConfigurationReader::Decision> ConfigurationReader::StartFromState(
    const ConfigurationState& state) {
  if (has_state_ || state.version == Version(0)) return {};
  const std::int64_t after = state.version.value() + 1;
  const LogOffset oldest =
      pending_.empty() ? position_ : pending_.front().record.offset;
  if (oldest.value() > after) return {};
  state_ = state;
  has_state_ = true;
  // Its records may have been dropped, so a snapshot is due.
  base_appended_ = TimePoint::Never();
  std::erase_if(pending_, [&](const Pending& pending) {
    return pending.record.offset.value() < after;
  });
  return ApplyPending();
}

void ConfigurationReader::StartAt(LogOffset first) {
  position_ = first;
  has_state_ = first == LogOffset(1);
  pending_.clear();
}

bool ConfigurationReader::FindSnapshot() {
  if (pending_.empty()) return false;
  const LogOffset oldest = pending_.front().record.offset;
  for (const Pending& pending : pending_) {
    const auto record = DecodeRecord(pending.record.body);
    if (!record) continue;
    const auto* snapshot = std::get_if<SnapshotRecord>(&record.value());
    if (snapshot == nullptr || snapshot->as_of < oldest) continue;
    const LogOffset as_of = snapshot->as_of;
    state_ = snapshot->state;
    base_appended_ = pending.appended;
    has_state_ = true;
    std::erase_if(pending_, [&](const Pending& other) {
      return other.record.offset < as_of;
    });
    return true;
  }
  return false;
}

ConfigurationReader::Decision ConfigurationReader::Apply(
    const Pending& pending) {
  Decision decision;
  decision.offset = pending.record.offset;
  decision.id = pending.record.id;
  auto record = DecodeRecord(pending.record.body);
  if (!record) return decision;
  decision.record = std::move(record.value());
  decision.verdict = ApplyRecord(decision.offset, decision.record, state_);
  UpdateBase(decision.verdict, pending, decision.record);
  return decision;
}

// The base is the oldest record needed to rebuild the state: the snapshot that
// it started from, or else the first accepted record. A later snapshot becomes
// the base only if no record lies between its state and the snapshot itself:
// such a record would expire before it.
void ConfigurationReader::UpdateBase(Verdict verdict, const Pending& pending,
                                     const ConfigurationRecord& record) {
  if (verdict == Verdict::kAccepted && !base_appended_) {
    base_appended_ = pending.appended;
  }
  const auto* snapshot = std::get_if<SnapshotRecord>(&record);
  if (snapshot == nullptr) return;
  if (snapshot->as_of != pending.record.offset) return;
  base_appended_ = pending.appended;
}

bool Configuration::Adopt(const ConfigurationState& state) {
  if (state.version <= state_.version) return false;
  auto config = ParseServiceConfig(state.text);
  if (!config) return false;
  const Version before = state_.version;
  state_ = state;
  service_config_ = std::move(config.value());
  CheckInvariant(Invariant::kConfigurationNeverReverts, state_.version > before,
                 "adopted configuration version is not newer");
  return true;
}

const ServiceSpec* Configuration::FindService(const ServiceName& name) const {
  const auto found = service_config_.services.find(name);
  return found == service_config_.services.end() ? nullptr : &found->second;
}

TeamSpec Configuration::Team(const TeamName& name) const {
  const auto found = service_config_.teams.find(name);
  if (found != service_config_.teams.end()) return found->second;
  TeamSpec spec;
  spec.name = name;
  return spec;
}

bool Configuration::IsInService(const DataCentreName& name) const {
  const DataCentreState* found = FindDataCentre(state_, name);
  return found != nullptr && found->in;
}

}  // namespace geranium
