// Keeps cxxopts from splitting setting values at commas.
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "operator/commands.h"
#include "operator/site_client.h"
#include "settings/command_line.h"
#include "settings/ini.h"

namespace {

using geranium::Commands;
using geranium::CtlExit;

constexpr char kUsage[] =
    "COMMAND\n"
    "  check FILE             check a text without publishing it\n"
    "  check-routes FILE      check a manifest of routes (JSON)\n"
    "  publish FILE           publish a text and wait until in force\n"
    "  show                   print the text in force\n"
    "  history                list changes on the log and whether accepted\n"
    "  data-centre out NAME   start no tasks in a data centre\n"
    "  data-centre in NAME    bring a data centre back\n"
    "  status                 entries, services and data centres\n"
    "  drain-worker ID        let a worker finish its tasks, send no more\n"
    "  wait VERSION           wait until a version is in force everywhere\n"
    "Exit status: 0 done, 1 refused, 2 conflict, 3 unknown, 4 not in "
    "force\n"
    "on time, 64 usage, 66 unreadable file (check-routes), 78 settings.";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("geraniumctl", "Operates a geraniumdyke site.");
  options.custom_help("[OPTIONS]");
  options.positional_help(kUsage);
  options.add_options()("h,help", "print this page")("version",
                                                     "print the version")(
      "settings", "the settings file (INI)",
      cxxopts::value<std::string>()->default_value(""),
      "FILE")("check-settings", "check the settings and exit")(
      "set", "override a setting, as section.key=value",
      cxxopts::value<std::vector<std::string>>(),
      "SETTING")("json", "print JSON")("no-wait", "do not wait until in force")(
      "timeout-ms", "time limit for waiting and for finding the record",
      cxxopts::value<std::int64_t>()->default_value("10000"),
      "N")("from", "the version that the text was edited from",
           cxxopts::value<std::int64_t>(),
           "VERSION")("out", "output file of show",
                      cxxopts::value<std::string>()->default_value(""), "FILE")(
      "in-force", "manifest that check-routes compares with",
      cxxopts::value<std::string>(),
      "FILE")("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

using Arguments = std::vector<std::string>;

std::optional<CtlExit> RunCommand(const Commands& commands,
                                  const Arguments& args) {
  const std::size_t count = args.size();
  const std::string& command = args.front();
  if (command == "check" && count == 2) return commands.Check(args[1]);
  if (command == "check-routes" && count == 2) {
    return commands.CheckRoutes(args[1]);
  }
  if (command == "publish" && count == 2) return commands.Publish(args[1]);
  if (command == "show" && count == 1) return commands.Show();
  if (command == "history" && count == 1) return commands.History();
  if (command == "status" && count == 1) return commands.Status();
  if (command == "drain-worker" && count == 2) {
    return commands.DrainWorker(args[1]);
  }
  if (command == "data-centre" && count == 3 &&
      (args[1] == "out" || args[1] == "in")) {
    return commands.SetDataCentre(args[2], args[1] == "in");
  }
  if (command == "wait" && count == 2) {
    char* stop = nullptr;
    const std::int64_t version = std::strtoll(args[1].c_str(), &stop, 10);
    if (*stop != '\0' || version < 1) return std::nullopt;
    return commands.Wait(geranium::Version(version));
  }
  return std::nullopt;
}

int UsageError(const std::string& problem) {
  std::cerr << "geraniumctl: " << problem << "; see --help\n";
  return geranium::kExitUsage;
}

int Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "geraniumctl " << GERANIUM_VERSION << "\n";
    return 0;
  }
  geranium::CommandLine command_line;
  command_line.settings_file = parsed["settings"].as<std::string>();
  if (parsed.count("set") > 0) {
    command_line.overrides = parsed["set"].as<Arguments>();
  }
  const auto file = geranium::LoadSettings(command_line);
  if (!file) return geranium::PrintSettingsError("geraniumctl", file.error());
  geranium::IniSection section = file.value().Section("operator");
  const std::string log = section.Text("log", "127.0.0.1:7000");
  const std::vector<std::string> entries = section.List("entries");
  const auto valid = section.Finish();
  if (!valid) return geranium::PrintSettingsError("geraniumctl", valid.error());
  if (parsed.count("check-settings") > 0) return 0;
  if (parsed.count("words") == 0) return UsageError("no command given");
  geranium::CtlOptions ctl;
  ctl.json = parsed.count("json") > 0;
  ctl.wait = parsed.count("no-wait") == 0;
  ctl.timeout = geranium::Duration(parsed["timeout-ms"].as<std::int64_t>());
  ctl.output_file = parsed["out"].as<std::string>();
  if (parsed.count("from") > 0) {
    ctl.edited_from = parsed["from"].as<std::int64_t>();
  }
  const geranium::SiteClient site(log, entries);
  const auto args = parsed["words"].as<Arguments>();
  if (parsed.count("in-force") > 0) {
    ctl.in_force_file = parsed["in-force"].as<std::string>();
    if (args.front() != "check-routes" || ctl.in_force_file.empty()) {
      return UsageError("--in-force takes a file and goes with check-routes");
    }
  }
  const auto exit = RunCommand(Commands(site, ctl), args);
  if (!exit)
    return UsageError("'" + args.front() +
                      "': unknown command or wrong arguments");
  return static_cast<int>(*exit);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    return UsageError(error.what());
  }
}
