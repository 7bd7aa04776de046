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

/// What every long-running program takes: --help, --version, --settings FILE,
/// --check and --set SECTION.KEY=VALUE.
struct CommandLine {
  std::string settings_file;
  bool check = false;
  std::vector<std::string> overrides;
};

/// Reads the command line. Returns the exit status if the program is to end
/// at once, after having printed what was asked for or what is wrong.
std::optional<int> ReadCommandLine(int argc, char** argv,
                                   const std::string& program,
                                   const std::string& summary,
                                   CommandLine& command_line);

/// Reads the settings file and puts the overrides into it.
Result<IniFile> LoadSettings(const CommandLine& command_line);

/// Prints the error as one line; returns the exit status.
int PrintSettingsError(const std::string& program, const Error& error);

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_COMMAND_LINE_H_
