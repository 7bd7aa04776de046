#include "settings/step_settings.h"

#include <algorithm>
#include <chrono>

#include "settings/ini_values.h"
#include "settings/process_settings.h"

namespace geranium {
namespace {

constexpr double kPercent = 100.0;

/// Below the 2,875 descriptors that the smallest entry has for connections, of
/// which links and other servers take up to 175.
constexpr std::int64_t kMaxConnections = 2700;
/// Clients' header sections are below 8 KiB.
constexpr std::int64_t kMaxOverheadBytes = 16'384;
/// A body of 8 MiB takes four times its size while it is parsed. The smallest
/// machine has 120 MB.
constexpr std::int64_t kMaxMemoryBytes = 40 << 20;

/// The platform allows 4,000 bytes.
constexpr std::int64_t kMaxPayloadBytes = 4096;
constexpr double kMilliCores = 1000.0;

std::string ReadSharedSections(const IniFile& file,
                               std::vector<std::string>& entries,
                               Result<void>& result) {
  IniSection peers = file.Section("peers");
  entries = ReadAddresses(peers, "entries");
  result = peers.Finish();
  if (!result) return "";
  IniSection platform = file.Section("platform");
  std::string store = ReadAddress(platform, "store_address");
  result = platform.Finish();
  return store;
}

// The wall clock gives a higher token than earlier agents had. If the clock was
// set back, the token is raised when the worker rejects it as stale.
std::uint64_t InitialFencingToken() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

QueueOrder ReadQueueOrder(IniSection& entry) {
  const std::string name = entry.Text("queue_order", "priority");
  if (name == "latest_start") return QueueOrder::kLatestStart;
  if (name != "priority") {
    entry.AddError("queue_order",
                   "is '" + name + "'; expected priority or latest_start");
  }
  return QueueOrder::kPriority;
}

}  // namespace

bool HasPlatformSection(const IniFile& file) {
  const auto sections = file.sections();
  return std::any_of(
      sections.begin(), sections.end(),
      [](const IniSection& section) { return section.name() == "platform"; });
}

Result<StepEntrySettings> ReadStepEntrySettings(const IniFile& file) {
  BOOST_OUTCOME_TRYV(CheckSectionNames(file, {"entry", "peers", "platform"}));
  StepEntrySettings settings;
  StepEntryOptions& node = settings.node;
  IniSection entry = file.Section("entry");
  node.id = EntryId(entry.Required("id"));
  node.link_address = ReadAddress(entry, "link_address");
  settings.link_listen_address =
      ReadAddress(entry, "link_listen_address", node.link_address);
  node.scheduler.placement.data_centre =
      DataCentreName(entry.Required("data_centre"));
  node.scheduler.placement.cross_rack_factor =
      static_cast<double>(
          entry.Integer("cross_rack_percent", 150, 100, 10'000)) /
      kPercent;
  node.scheduler.queue_order = ReadQueueOrder(entry);
  node.scheduler.placement.by_speed =
      entry.Flag("speed_placement", node.scheduler.placement.by_speed);
  node.scheduler.placement.locality_wait.wait_percent =
      static_cast<int>(entry.Integer("locality_wait_percent", 0, 0, 1000));
  node.scheduler.refuse_late =
      entry.Flag("refuse_late", node.scheduler.refuse_late);
  settings.caller_address = ReadAddress(entry, "caller_address");
  settings.ready_address = ReadAddress(entry, "ready_address");
  settings.metrics_address = ReadAddress(entry, "metrics_address");
  settings.grace = Duration(
      entry.Integer("grace_s", settings.grace.ms() / 1000, 1, 3600) * 1000);
  settings.route_table_copies =
      static_cast<int>(entry.Integer("route_table_copies", 0, 0, 4));
  settings.client_limits.max_connections = static_cast<std::size_t>(
      entry.Integer("max_connections", kMaxConnections, 1, 1'000'000));
  settings.client_limits.max_request_overhead_bytes =
      static_cast<std::size_t>(entry.Integer("max_request_overhead_bytes",
                                             kMaxOverheadBytes, 8192, 1 << 20));
  settings.client_limits.max_request_memory_bytes =
      static_cast<std::size_t>(entry.Integer(
          "max_request_memory_bytes", kMaxMemoryBytes, 1 << 20, 1 << 30));
  settings.max_payload_bytes = static_cast<std::size_t>(
      entry.Integer("max_payload_bytes", kMaxPayloadBytes, 1, 65'536));
  node.max_known_jobs = static_cast<std::size_t>(entry.Integer(
      "max_known_jobs", static_cast<std::int64_t>(node.max_known_jobs), 100,
      10'000'000));
  node.scheduler.min_task_cpu =
      static_cast<double>(entry.Integer("min_task_millicores", 50, 1, 1000)) /
      kMilliCores;
  BOOST_OUTCOME_TRYV(entry.Finish());
  Result<void> shared = boost::outcome_v2::success();
  settings.store_address =
      ReadSharedSections(file, settings.entry_addresses, shared);
  BOOST_OUTCOME_TRYV(shared);
  node.incarnation = Incarnation(GenerateIncarnation());
  node.scheduler.incarnation = node.incarnation;
  return settings;
}

Result<StepAgentSettings> ReadStepAgentSettings(const IniFile& file) {
  BOOST_OUTCOME_TRYV(CheckSectionNames(file, {"agent", "peers", "platform"}));
  StepAgentSettings settings;
  WorkerSessionOptions& node = settings.node;
  IniSection agent = file.Section("agent");
  node.name = agent.Required("id");
  settings.registration_address = ReadAddress(agent, "registration_address");
  settings.worker_address = ReadAddress(agent, "worker_address");
  settings.metrics_address = ReadAddress(agent, "metrics_address");
  node.longest_lease = ReadMs(agent, "longest_lease_ms", node.longest_lease);
  node.entry_links = static_cast<std::size_t>(agent.Integer(
      "entry_links", static_cast<std::int64_t>(node.entry_links), 1, 1000));
  node.max_order_calls = static_cast<std::size_t>(
      agent.Integer("max_order_calls",
                    static_cast<std::int64_t>(node.max_order_calls), 4, 1000));
  node.max_order_bytes = static_cast<std::size_t>(agent.Integer(
      "max_order_bytes", static_cast<std::int64_t>(node.max_order_bytes),
      1 << 20, 1 << 30));
  node.capacity_hold = Duration(agent.Integer("capacity_hold_ms", 0, 0, 1000));
  settings.grace = Duration(
      agent.Integer("grace_s", settings.grace.ms() / 1000, 1, 3600) * 1000);
  settings.client_limits.max_connections = static_cast<std::size_t>(
      agent.Integer("max_connections", kMaxConnections, 1, 1'000'000));
  settings.client_limits.max_request_overhead_bytes =
      static_cast<std::size_t>(agent.Integer("max_request_overhead_bytes",
                                             kMaxOverheadBytes, 8192, 1 << 20));
  settings.client_limits.max_request_memory_bytes =
      static_cast<std::size_t>(agent.Integer(
          "max_request_memory_bytes", kMaxMemoryBytes, 1 << 20, 1 << 30));
  BOOST_OUTCOME_TRYV(agent.Finish());
  Result<void> shared = boost::outcome_v2::success();
  (void)ReadSharedSections(file, settings.entry_addresses, shared);
  BOOST_OUTCOME_TRYV(shared);
  node.incarnation = Incarnation(GenerateIncarnation());
  node.first_fencing_token = InitialFencingToken();
  return settings;
}

}  // namespace geranium
