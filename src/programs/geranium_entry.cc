#include "runtime/entry_server.h"
#include "runtime/logging.h"
#include "runtime/step_entry_server.h"
#include "settings/command_line.h"
#include "settings/process_settings.h"
#include "settings/step_settings.h"

namespace {

int RunOnPlatform(const std::string& program,
                  const geranium::CommandLine& command_line) {
  const auto read =
      [command_line]() -> geranium::Result<geranium::StepEntrySettings> {
    BOOST_OUTCOME_TRY(file, geranium::LoadSettings(command_line));
    return geranium::ReadStepEntrySettings(file);
  };
  const auto settings = read();
  if (!settings) return geranium::PrintSettingsError(program, settings.error());
  if (command_line.check) return 0;
  geranium::StartLogging(program, settings.value().node.id.value(),
                         geranium::LogTarget::kStandardOutput);
  geranium::FlushLogsAndExit(
      geranium::StepEntryServer(settings.value(), read).Run());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string program = "geranium-entry";
  geranium::CommandLine command_line;
  const auto exit = geranium::ReadCommandLine(
      argc, argv, program,
      "Accepts jobs from callers and dispatches them to workers.",
      command_line);
  if (exit) return *exit;
  const auto file = geranium::LoadSettings(command_line);
  if (!file) return geranium::PrintSettingsError(program, file.error());
  if (geranium::HasPlatformSection(file.value())) {
    return RunOnPlatform(program, command_line);
  }
  const auto settings = geranium::ReadEntrySettings(file.value());
  if (!settings) return geranium::PrintSettingsError(program, settings.error());
  if (command_line.check) return 0;
  geranium::StartLogging(program, settings.value().node.id.value());
  geranium::FlushLogsAndExit(geranium::EntryServer(settings.value()).Run());
}
