#include "settings/command_line.h"

// Keeps cxxopts from splitting setting values at commas.
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <iostream>
#include <utility>

namespace geranium {

std::optional<int> ReadCommandLine(int argc, char** argv,
                                   const std::string& program,
                                   const std::string& summary,
                                   CommandLine& command_line) {
  cxxopts::Options options(program, summary);
  options.add_options()("h,help", "print this page")("version",
                                                     "print the version")(
      "settings", "the settings file (INI)",
      cxxopts::value<std::string>()->default_value(""),
      "FILE")("check", "check the settings and exit")(
      "set", "override a setting, as section.key=value; may be repeated",
      cxxopts::value<std::vector<std::string>>(), "SETTING");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << program << " " << GERANIUM_VERSION << "\n";
      return 0;
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << program << ": unknown argument '"
                << parsed.unmatched().front() << "'; see --help\n";
      return kExitUsage;
    }
    command_line.settings_file = parsed["settings"].as<std::string>();
    command_line.check = parsed.count("check") > 0;
    if (parsed.count("set") > 0) {
      command_line.overrides = parsed["set"].as<std::vector<std::string>>();
    }
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  return std::nullopt;
}

Result<IniFile> LoadSettings(const CommandLine& command_line) {
  IniFile file;
  if (!command_line.settings_file.empty()) {
    BOOST_OUTCOME_TRY(read, IniFile::Read(command_line.settings_file));
    file = std::move(read);
  }
  for (const std::string& text : command_line.overrides) {
    const auto dot = text.find('.');
    const auto equals = text.find('=');
    const bool well_formed =
        dot != std::string::npos && equals != std::string::npos && dot < equals;
    if (!well_formed) {
      return Error{ErrorCode::kInvalidSetting, "read command line", "",
                   "--set " + text + ": expected section.key=value",
                   Execution::kNotRun};
    }
    file.Override(text.substr(0, dot), text.substr(dot + 1, equals - dot - 1),
                  text.substr(equals + 1));
  }
  return file;
}

int PrintSettingsError(const std::string& program, const Error& error) {
  std::cerr << program << ": " << error.message << "\n";
  return kExitSettings;
}

}  // namespace geranium
