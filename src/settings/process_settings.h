#ifndef GERANIUM_SETTINGS_PROCESS_SETTINGS_H_
#define GERANIUM_SETTINGS_PROCESS_SETTINGS_H_

#include <string>
#include <vector>

#include "entry/entry_node.h"
#include "settings/ini.h"
#include "worker/agent_node.h"

namespace geranium {

/// The settings of `geranium-entry` (docs/SETTINGS.md).
struct EntrySettings {
  EntryOptions node;
  std::string log_address;
  std::vector<std::string> entry_addresses;
  Duration shutdown_limit{60'000};
  Duration shutdown_linger{500};
};

/// The settings of `geranium-agent`.
struct AgentSettings {
  AgentOptions node;
  std::string backend_address;
  std::vector<std::string> entry_addresses;
  Duration shutdown_limit{60'000};
};

Result<EntrySettings> ReadEntrySettings(const IniFile& file);
Result<AgentSettings> ReadAgentSettings(const IniFile& file);

/// Random 64-bit number that identifies one run of a process.
std::uint64_t GenerateIncarnation();

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_PROCESS_SETTINGS_H_
