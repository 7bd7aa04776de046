#include "runtime/agent_server.h"
#include "runtime/logging.h"
#include "runtime/step_agent_server.h"
#include "settings/command_line.h"
#include "settings/process_settings.h"
#include "settings/step_settings.h"

namespace {

int RunOnPlatform(const std::string& program,
                  const geranium::CommandLine& command_line) {
  const auto read =
      [command_line]() -> geranium::Result<geranium::StepAgentSettings> {
    BOOST_OUTCOME_TRY(file, geranium::LoadSettings(command_line));
    return geranium::ReadStepAgentSettings(file);
  };
  const auto settings = read();
  if (!settings) return geranium::PrintSettingsError(program, settings.error());
  if (command_line.check) return 0;
  geranium::StartLogging(program, settings.value().node.name,
                         geranium::LogTarget::kStandardOutput);
  geranium::FlushLogsAndExit(
      geranium::StepAgentServer(settings.value(), read).Run());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string program = "geranium-agent";
  geranium::CommandLine command_line;
  const auto exit = geranium::ReadCommandLine(
      argc, argv, program,
      "Runs next to a backend server, registers it and starts its tasks.",
      command_line);
  if (exit) return *exit;
  const auto file = geranium::LoadSettings(command_line);
  if (!file) return geranium::PrintSettingsError(program, file.error());
  if (geranium::HasPlatformSection(file.value())) {
    return RunOnPlatform(program, command_line);
  }
  const auto settings = geranium::ReadAgentSettings(file.value());
  if (!settings) return geranium::PrintSettingsError(program, settings.error());
  if (command_line.check) return 0;
  geranium::StartLogging(program, settings.value().node.profile.id.value());
  geranium::FlushLogsAndExit(geranium::AgentServer(settings.value()).Run());
}
