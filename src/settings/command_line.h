#ifndef GERANIUM_SETTINGS_COMMAND_LINE_H_
#define GERANIUM_SETTINGS_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

#include "settings/ini.h"

namespace geranium {

/// Exit statuses of the programs, from sysexits.h where it has one.
inline constexpr int kExitUsage = 64;
inline constexpr int kExitSettings = 78;

/// Options of every long-running program: --help, --version, --settings FILE,
/// --check and --set SECTION.KEY=VALUE.
struct CommandLine {
  std::string settings_file;
  bool check = false;
  std::vector<std::string> overrides;
};

/// Parses the command line. Returns an exit status if the program must exit
/// now: after --help or --version, or after a usage error was printed.
std::optional<int> ReadCommandLine(int argc, char** argv,
                                   const std::string& program,
                                   const std::string& summary,
                                   CommandLine& command_line);

/// Reads the settings file and applies the --set overrides.
Result<IniFile> LoadSettings(const CommandLine& command_line);

/// Prints the error on one line; returns the exit status to use.
int PrintSettingsError(const std::string& program, const Error& error);

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_COMMAND_LINE_H_
