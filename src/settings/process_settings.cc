#include "settings/process_settings.h"

#include <random>
#include <string>

#include "settings/ini_values.h"

namespace geranium {
namespace {

constexpr std::int64_t kMaxSlots = 4096;

LogOutageRule ReadOutageRule(IniSection& section) {
  const std::string name = section.Text("log_outage", "majority");
  if (name == "stop") return LogOutageRule::kStop;
  if (name != "majority") {
    section.AddError("log_outage",
                     "is '" + name + "'; expected majority or stop");
  }
  return LogOutageRule::kMajority;
}

PolicyChoice ReadPolicy(IniSection& section) {
  const std::string name = section.Text("policy", "late_binding");
  if (name == "push") return PushToLeastLoaded{};
  if (name != "late_binding") {
    section.AddError("policy",
                     "is '" + name + "'; expected late_binding or push");
  }
  return LateBinding{};
}

Result<void> ReadDispatch(const IniFile& file, DispatcherOptions& options) {
  IniSection section = file.Section("dispatch");
  options.policy = ReadPolicy(section);
  options.queue_limit = static_cast<std::size_t>(
      section.Integer("queue_limit", 20'000, 1, 10'000'000));
  options.default_deadline =
      ReadMs(section, "default_deadline_ms", options.default_deadline);
  options.worker_lost = ReadMs(section, "worker_lost_ms", options.worker_lost);
  options.hedge = section.Flag("hedge", options.hedge);
  return section.Finish();
}

Result<void> ReadLog(const IniFile& file, EntrySettings& settings) {
  IniSection section = file.Section("log");
  settings.log_address = ReadAddress(section, "address");
  EntryOptions& node = settings.node;
  node.log_retention = ReadMs(section, "retention_ms", node.log_retention);
  node.key_window = ReadMs(section, "key_window_ms", node.key_window);
  node.log_outage = ReadOutageRule(section);
  if (node.key_window >= node.log_retention) {
    section.AddError("key_window_ms",
                     "must be less than retention_ms, which is " +
                         std::to_string(node.log_retention.ms()));
  }
  return section.Finish();
}

}  // namespace

std::uint64_t GenerateIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Result<EntrySettings> ReadEntrySettings(const IniFile& file) {
  BOOST_OUTCOME_TRYV(
      CheckSectionNames(file, {"entry", "peers", "log", "dispatch"}));
  EntrySettings settings;
  EntryOptions& node = settings.node;
  IniSection entry = file.Section("entry");
  node.id = EntryId(entry.Required("id"));
  node.link_address = ReadAddress(entry, "link_address");
  node.http_address = ReadAddress(entry, "http_address");
  node.heartbeat = ReadMs(entry, "heartbeat_ms", node.heartbeat);
  node.freshness_limit = ReadMs(entry, "freshness_ms", node.freshness_limit);
  settings.shutdown_limit =
      ReadMs(entry, "shutdown_limit_ms", settings.shutdown_limit);
  settings.shutdown_linger =
      ReadMs(entry, "shutdown_linger_ms", settings.shutdown_linger, 0);
  BOOST_OUTCOME_TRYV(entry.Finish());
  IniSection peers = file.Section("peers");
  settings.entry_addresses = ReadAddresses(peers, "entries");
  BOOST_OUTCOME_TRYV(peers.Finish());
  BOOST_OUTCOME_TRYV(ReadLog(file, settings));
  BOOST_OUTCOME_TRYV(ReadDispatch(file, node.dispatcher));
  node.incarnation = Incarnation(GenerateIncarnation());
  node.seed = GenerateIncarnation();
  return settings;
}

Result<AgentSettings> ReadAgentSettings(const IniFile& file) {
  BOOST_OUTCOME_TRYV(CheckSectionNames(file, {"worker", "backend", "entries"}));
  AgentSettings settings;
  AgentOptions& node = settings.node;
  IniSection worker = file.Section("worker");
  node.profile.id = WorkerId(worker.Required("id"));
  node.profile.data_centre = DataCentreName(worker.Required("data_centre"));
  for (const std::string& service : worker.List("services")) {
    node.profile.services.emplace_back(service);
  }
  if (node.profile.services.empty()) {
    worker.AddError("services", "is missing; list at least one service");
  }
  node.profile.slots =
      static_cast<int>(worker.Integer("slots", 8, 1, kMaxSlots));
  node.profile.capacity.cpu =
      static_cast<double>(worker.Integer("cpu", 32, 1, 1024));
  node.profile.capacity.memory_mb =
      worker.Integer("memory_mb", 65'536, 1, 16'777'216);
  node.profile.capacity.accelerators = worker.Integer("accelerators", 0, 0, 64);
  node.http_address = ReadAddress(worker, "http_address");
  node.grant_ttl = ReadMs(worker, "grant_ttl_ms", node.grant_ttl);
  node.heartbeat = ReadMs(worker, "heartbeat_ms", node.heartbeat);
  node.freshness_limit = ReadMs(worker, "freshness_ms", node.freshness_limit);
  node.queue_limit = static_cast<int>(worker.Integer(
      "queue_limit", std::int64_t{2} * node.profile.slots, 1, 100'000));
  node.urgent_reserve =
      static_cast<int>(worker.Integer("urgent_reserve", 1, 0, kMaxSlots));
  settings.shutdown_limit =
      ReadMs(worker, "shutdown_limit_ms", settings.shutdown_limit);
  BOOST_OUTCOME_TRYV(worker.Finish());
  IniSection backend = file.Section("backend");
  settings.backend_address = ReadAddress(backend, "address");
  BOOST_OUTCOME_TRYV(backend.Finish());
  IniSection entries = file.Section("entries");
  settings.entry_addresses = ReadAddresses(entries, "addresses");
  if (settings.entry_addresses.empty()) {
    entries.AddError("addresses",
                     "is missing; list at least one entry address");
  }
  BOOST_OUTCOME_TRYV(entries.Finish());
  node.incarnation = Incarnation(GenerateIncarnation());
  return settings;
}

}  // namespace geranium
