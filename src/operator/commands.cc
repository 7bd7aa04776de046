#include "operator/commands.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

#include "contract/route_table_check.h"
#include "contract/service_config.h"
#include "operator/line_diff.h"
#include "platform/ingress.h"
#include "platform/operator_log.h"
#include "runtime/answers.h"
#include "runtime/client_limits.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEditedFrom = "; edited-from = ";
constexpr Duration kProgressInterval{100};

Result<std::string> ReadText(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Error{ErrorCode::kInvalidText, "read text", path,
                 path + ": cannot open file", Execution::kNotRun};
  }
  stream.peek();  // A directory can be opened but not read.
  if (stream.bad()) {
    return Error{ErrorCode::kInvalidText, "read text", path,
                 path + ": cannot read file", Execution::kNotRun};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Removes the header line written by `show` and returns its version, if any.
std::optional<std::int64_t> ExtractEditedFrom(std::string& text) {
  if (!text.starts_with(kEditedFrom)) return std::nullopt;
  const auto end = text.find('\n');
  const std::string number =
      text.substr(kEditedFrom.size(),
                  end == std::string::npos ? end : end - kEditedFrom.size());
  text = end == std::string::npos ? "" : text.substr(end + 1);
  char* stop = nullptr;
  const std::int64_t version = std::strtoll(number.c_str(), &stop, 10);
  if (stop == number.c_str()) return std::nullopt;
  return version;
}

std::string Summarize(const ConfigurationRecord& record) {
  if (const auto* centre = std::get_if<DataCentreRecord>(&record)) {
    return "data-centre " + std::string(centre->in ? "in " : "out ") +
           centre->name.value();
  }
  if (const auto* text = std::get_if<TextRecord>(&record)) {
    return "text edited from " + std::to_string(text->edited_from.value());
  }
  return "snapshot";
}

std::string FormatSeconds(Duration span) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << static_cast<double>(span.ms()) / 1000.0 << " s";
  return text.str();
}

void PrintService(const std::string& name, const Json& data_centres) {
  std::cout << "service " << name << "\n";
  for (const Json& data_centre : data_centres) {
    std::cout << "  " << std::left << std::setw(16)
              << data_centre.at("data_centre").get<std::string>();
    std::cout << (data_centre.at("available").get<bool>() ? "available  "
                                                          : "unavailable");
    if (!data_centre.at("in").get<bool>()) std::cout << "  out";
    for (const char* key :
         {"answering", "quiet", "failing", "leaving", "quarantined"}) {
      const int count = data_centre.at(key).get<int>();
      if (count > 0) std::cout << "  " << key << " " << count;
    }
    for (const Json& missing : data_centre.at("missing_dependencies")) {
      std::cout << "  lacks " << missing.get<std::string>();
    }
    std::cout << "\n";
  }
}

void PrintEntry(const Json& status) {
  std::cout << "entry " << status.at("entry").get<std::string>() << "  version "
            << status.at("version")
            << (status.at("fresh").get<bool>() ? "  confirmed"
                                               : "  NOT CONFIRMED")
            << (status.at("leaving").get<bool>() ? "  leaving" : "")
            << "  open jobs " << status.at("open_jobs") << "  waiting tasks "
            << status.at("waiting_tasks") << "  workers "
            << status.at("workers").size() << "\n";
}

}  // namespace

CtlExit Commands::Fail(const Error& error, CtlExit exit) const {
  if (options_.json) {
    std::cout << Json{{"error", ToJson(error)}}.dump() << "\n";
  } else {
    std::cerr << "geraniumctl: " << error.step << " at "
              << (error.peer.empty() ? "geraniumctl" : error.peer) << ": "
              << error.message << "\n";
  }
  return exit;
}

CtlExit Commands::Check(const std::string& file) const {
  auto text = ReadText(file);
  if (!text) return Fail(text.error());
  const auto parsed = ParseServiceConfig(text.value());
  if (!parsed) return Fail(parsed.error());
  if (options_.json) {
    std::cout << Json{{"valid", true},
                      {"services", parsed.value().services.size()}}
                     .dump()
              << "\n";
  } else {
    std::cout << "valid: " << parsed.value().services.size() << " services, "
              << parsed.value().teams.size() << " teams, "
              << parsed.value().data_centres.size() << " data centres\n";
  }
  return CtlExit::kOk;
}

CtlExit Commands::CheckRoutes(const std::string& file) const {
  const auto text = ReadText(file);
  if (!text) return Fail(text.error(), CtlExit::kNoInput);
  const RouteManifest manifest = platform::ReadRouteManifest(text.value());
  std::optional<RouteManifest> in_force;
  if (!options_.in_force_file.empty()) {
    const auto in_force_text = ReadText(options_.in_force_file);
    if (!in_force_text) return Fail(in_force_text.error(), CtlExit::kNoInput);
    in_force = platform::ReadRouteManifest(in_force_text.value());
  }
  const RouteTableCheck check(
      {static_cast<std::int64_t>(platform::kSmallestJobBody.size()),
       static_cast<std::int64_t>(HttpServerLimits::kMaxBodyBytes)});
  const auto findings = check.Run(manifest, in_force ? &*in_force : nullptr);
  for (const RouteFinding& finding : findings) {
    const std::string severity(Name(finding.severity));
    if (options_.json) {
      // The file may contain bytes that are not UTF-8.
      std::cout << Json{{"severity", severity}, {"message", finding.message}}
                       .dump(-1, ' ', false, Json::error_handler_t::replace)
                << "\n";
    } else {
      std::cout << severity << ": " << finding.message << "\n";
    }
  }
  return HasErrors(findings) ? CtlExit::kRefused : CtlExit::kOk;
}

CtlExit Commands::Publish(const std::string& file) const {
  auto text = ReadText(file);
  if (!text) return Fail(text.error());
  const auto file_version = ExtractEditedFrom(text.value());
  if (const CtlExit checked = Check(file); checked != CtlExit::kOk) {
    return checked;
  }
  const auto history = site_.ReadConfiguration();
  if (!history) return Fail(history.error());
  const ConfigurationState& state = history.value().reader.state();
  const auto base_version =
      options_.edited_from ? options_.edited_from : file_version;
  if (!base_version && state.text_version != Version(0)) {
    return Fail(Error{ErrorCode::kMalformed, "publish", file,
                      "pass --from with the version the text was edited "
                      "from; version " +
                          std::to_string(state.text_version.value()) +
                          " is in force",
                      Execution::kNotRun});
  }
  const Version edited_from(base_version.value_or(0));
  const auto outcome = site_.SubmitChange(TextRecord{text.value(), edited_from},
                                          options_.timeout);
  if (outcome.state == ChangeState::kConflict) {
    ShowConflict(text.value(), edited_from);
  }
  return Finish(outcome);
}

void Commands::ShowConflict(const std::string& text,
                            Version edited_from) const {
  const auto history = site_.ReadConfiguration();
  if (!history || options_.json) return;
  const ConfigurationState& state = history.value().reader.state();
  const TextRecord* base = history.value().FindText(edited_from);
  std::cerr << "version " << state.text_version.value()
            << " is in force; changes since version " << edited_from.value()
            << ":\n"
            << LineDiff(base == nullptr ? text : base->text, state.text);
}

CtlExit Commands::Finish(const ChangeOutcome& outcome) const {
  if (options_.json) {
    const char* names[] = {"accepted", "conflict", "invalid", "unknown"};
    std::cout << Json{{"state", names[static_cast<int>(outcome.state)]},
                      {"version", outcome.version.value()},
                      {"message", outcome.message}}
                     .dump()
              << "\n";
  }
  switch (outcome.state) {
    case ChangeState::kAccepted:
      if (!options_.json) {
        std::cout << "accepted as version " << outcome.version.value() << "\n";
      }
      return options_.wait ? Wait(outcome.version) : CtlExit::kOk;
    case ChangeState::kConflict:
      std::cerr << "geraniumctl: conflict at version "
                << outcome.version.value() << ": " << outcome.message << "\n";
      return CtlExit::kConflict;
    case ChangeState::kInvalid:
      std::cerr << "geraniumctl: refused: " << outcome.message << "\n";
      return CtlExit::kRefused;
    case ChangeState::kUnknown:
      std::cerr
          << "geraniumctl: the change may or may not have been made ("
          << outcome.message
          << "); check `geraniumctl history` once the log service answers\n";
      return CtlExit::kUnknown;
  }
  return CtlExit::kUnknown;
}

CtlExit Commands::Show() const {
  const auto history = site_.ReadConfiguration();
  if (!history) return Fail(history.error());
  const ConfigurationState& state = history.value().reader.state();
  std::ofstream file;
  if (!options_.output_file.empty()) {
    file.open(options_.output_file);
    if (!file) {
      return Fail(Error{ErrorCode::kInvalidText, "show", options_.output_file,
                        "cannot open file for writing", Execution::kNotRun});
    }
  }
  std::ostream& output = file.is_open() ? file : std::cout;
  if (options_.json) {
    output << Json{{"version", state.version.value()},
                   {"text_version", state.text_version.value()},
                   {"text", state.text}}
                  .dump()
           << "\n";
  } else {
    output << kEditedFrom << state.text_version.value() << "\n" << state.text;
  }
  return CtlExit::kOk;
}

CtlExit Commands::History() const {
  const auto history = site_.ReadConfiguration();
  if (!history) return Fail(history.error());
  for (const auto& decision : history.value().decisions) {
    const std::string verdict(Name(decision.verdict));
    const std::string summary = Summarize(decision.record);
    if (options_.json) {
      std::cout << Json{{"version", decision.offset.value()},
                        {"record", decision.id.value()},
                        {"verdict", verdict},
                        {"summary", summary}}
                       .dump()
                << "\n";
    } else {
      std::cout << std::setw(8) << decision.offset.value() << "  " << std::left
                << std::setw(9) << verdict << std::right << "  " << summary
                << "\n";
    }
  }
  return CtlExit::kOk;
}

CtlExit Commands::SetDataCentre(const std::string& name, bool in) const {
  const auto history = site_.ReadConfiguration();
  if (!history) return Fail(history.error());
  const ConfigurationState& state = history.value().reader.state();
  const DataCentreState* known = FindDataCentre(state, DataCentreName(name));
  if (known == nullptr) {
    return Fail(Error{ErrorCode::kMalformed, "data-centre", name,
                      "the text in force has no data centre '" + name + "'",
                      Execution::kNotRun});
  }
  if (known->in == in) {
    std::cerr << "data centre " << name << " is " << (in ? "in" : "out")
              << " already since version " << known->changed.value() << "\n";
    return options_.wait ? Wait(known->changed) : CtlExit::kOk;
  }
  const DataCentreRecord record{DataCentreName(name), in, known->changed};
  return Finish(site_.SubmitChange(record, options_.timeout));
}

CtlExit Commands::Status() const {
  CtlExit exit = CtlExit::kOk;
  Json all = Json::object();
  bool services_shown = false;
  for (const auto& [address, status] : site_.FetchStatuses()) {
    if (!status) {
      all[address] = {{"error", ToJson(status.error())}};
      if (!options_.json) {
        std::cout << "entry at " << address
                  << "  NO ANSWER: " << status.error().message << "\n";
      }
      exit = CtlExit::kUnknown;
      continue;
    }
    all[address] = status.value();
    if (options_.json) continue;
    PrintEntry(status.value());
    if (services_shown) continue;
    services_shown = true;
    for (const auto& [name, data_centres] :
         status.value().at("services").items()) {
      PrintService(name, data_centres);
    }
  }
  if (options_.json) std::cout << all.dump() << "\n";
  return exit;
}

CtlExit Commands::DrainWorker(const std::string& worker) const {
  const auto accepted = site_.DrainWorker(worker);
  if (!accepted) return Fail(accepted.error());
  std::cout << "worker " << worker << " is draining; request accepted by "
            << accepted.value() << " entries\n";
  return CtlExit::kOk;
}

void Commands::PrintProgress(const RolloutProgress& progress,
                             Duration since) const {
  std::cerr << "in force on " << progress.entries_in_force << "/"
            << progress.entries << " entries, " << progress.workers_in_force
            << "/" << progress.workers << " agents, " << FormatSeconds(since)
            << "\n";
}

CtlExit Commands::Wait(Version version) const {
  const TimePoint begin = SystemClock().Now();
  std::size_t shown = 0;
  while (true) {
    const RolloutProgress progress = site_.FetchProgress(version);
    const Duration since = SystemClock().Now() - begin;
    const std::size_t reached =
        progress.entries_in_force + progress.workers_in_force + 1;
    if (reached != shown) PrintProgress(progress, since);
    shown = reached;
    if (progress.IsDone()) return CtlExit::kOk;
    if (since > options_.timeout) {
      std::cerr << "geraniumctl: timed out before the version was in force "
                   "everywhere; missing:";
      for (const std::string& name : progress.missing) {
        std::cerr << " " << name;
      }
      std::cerr << "\n";
      return CtlExit::kNotInForce;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(kProgressInterval.ms()));
  }
}

}  // namespace geranium
