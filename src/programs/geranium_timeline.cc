#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "settings/command_line.h"
#include "timeline/log_lines.h"
#include "timeline/timeline.h"

namespace {

void Print(const geranium::TimelineEvent& event, bool json) {
  std::cout << (json ? ToJson(event).dump() : ToText(event)) << "\n";
}

// Prints the events of one job from the logs of all processes.
int PrintRequest(const std::string& job, const std::vector<std::string>& files,
                 bool json) {
  std::vector<std::ifstream> streams;
  std::vector<std::istream*> logs;
  streams.reserve(files.size());
  for (const std::string& file : files) {
    streams.emplace_back(file);
    if (!streams.back()) {
      std::cerr << "geranium-timeline: cannot open " << file << "\n";
      return geranium::kExitUsage;
    }
    logs.push_back(&streams.back());
  }
  const auto events = geranium::TraceJob(logs, job);
  for (const geranium::TimelineEvent& event : events) Print(event, json);
  if (!events.empty()) return 0;
  std::cerr << "geranium-timeline: no log line mentions job " << job << "\n";
  return 1;
}

int Run(int argc, char** argv) {
  cxxopts::Options options(
      "geranium-timeline",
      "Merges the events of all processes of a site into one time line.");
  options.add_options()("h,help", "print this page")("version",
                                                     "print the version")(
      "entries", "HTTP addresses of entries, comma-separated",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "127.0.0.1:7001,127.0.0.1:7002"))(
      "job", "only events of this job",
      cxxopts::value<std::string>()->default_value(""))(
      "process", "only events of or about this entry or worker",
      cxxopts::value<std::string>()->default_value(""))(
      "data-centre", "only events in this data centre",
      cxxopts::value<std::string>()->default_value(""))(
      "json", "print JSON lines")("request",
                                  "trace one step job, by its id, in log files",
                                  cxxopts::value<std::string>())(
      "files", "log files to read, with --request",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.parse_positional("files");
  options.positional_help("[FILE...]");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "geranium-timeline " << GERANIUM_VERSION << "\n";
    return 0;
  }
  const bool json = parsed.count("json") > 0;
  if (parsed.count("request") > 0) {
    return PrintRequest(parsed["request"].as<std::string>(),
                        parsed["files"].as<std::vector<std::string>>(), json);
  }
  std::vector<std::string> missing;
  const auto streams = geranium::FetchStreams(
      parsed["entries"].as<std::vector<std::string>>(), missing);
  const geranium::TimelineFilter filter{
      parsed["job"].as<std::string>(), parsed["process"].as<std::string>(),
      parsed["data-centre"].as<std::string>()};
  for (const geranium::TimelineEvent& event : geranium::Merge(streams)) {
    if (geranium::Matches(event, filter)) Print(event, json);
  }
  for (const std::string& address : missing) {
    std::cerr << "geranium-timeline: no events from " << address << "\n";
  }
  return missing.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "geranium-timeline: " << error.what() << "; see --help\n";
    return geranium::kExitUsage;
  }
}
