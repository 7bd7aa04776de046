#ifndef GERANIUM_SETTINGS_STEP_SETTINGS_H_
#define GERANIUM_SETTINGS_STEP_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "entry/step_entry_node.h"
#include "settings/ini.h"
#include "worker/worker_session.h"

namespace geranium {

/// True if the settings have a [platform] section: the process runs on a
/// platform that keeps the operator's log (docs/SETTINGS.md).
bool HasPlatformSection(const IniFile& file);

/// What clients of the callers' or the registration address may use; the
/// values are HttpServerLimits'.
struct ClientLimitSettings {
  std::size_t max_connections = 0;
  std::size_t max_request_overhead_bytes = 0;
  std::size_t max_request_memory_bytes = 0;
};

/// The settings of `geranium-entry` on a platform.
struct StepEntrySettings {
  StepEntryOptions node;
  /// Address to listen on for links, if not the one that peers connect to.
  std::string link_listen_address;
  std::string caller_address;
  std::string ready_address;
  std::string metrics_address;
  std::string store_address;
  int route_table_copies = 0;  ///< On the store.
  std::vector<std::string> entry_addresses;
  ClientLimitSettings client_limits;
  std::size_t max_payload_bytes = 0;  ///< Of a job.
  Duration grace{6000};               ///< Between SIGTERM and SIGKILL.
};

/// The settings of `geranium-agent` on a platform.
struct StepAgentSettings {
  WorkerSessionOptions node;
  std::string registration_address;  ///< Where the worker registers.
  std::string metrics_address;
  std::string worker_address;  ///< Where the worker accepts orders.
  std::vector<std::string> entry_addresses;
  ClientLimitSettings client_limits;
  Duration grace{6000};
};

Result<StepEntrySettings> ReadStepEntrySettings(const IniFile& file);
Result<StepAgentSettings> ReadStepAgentSettings(const IniFile& file);

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_STEP_SETTINGS_H_
