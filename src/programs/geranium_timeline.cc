#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "settings/command_line.h"
#include "timeline/time_line.h"

namespace {

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
      cxxopts::value<std::string>()->default_value(""))("json",
                                                        "print JSON lines");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "geranium-timeline " << GERANIUM_VERSION << "\n";
    return 0;
  }
  std::vector<std::string> missing;
  const auto streams = geranium::FetchStreams(
      parsed["entries"].as<std::vector<std::string>>(), missing);
  const geranium::TimeLineFilter filter{
      parsed["job"].as<std::string>(), parsed["process"].as<std::string>(),
      parsed["data-centre"].as<std::string>()};
  const bool json = parsed.count("json") > 0;
  for (const geranium::PlacedEvent& event : geranium::Merge(streams)) {
    if (!geranium::Matches(event, filter)) continue;
    std::cout << (json ? ToJson(event).dump() : ToText(event)) << "\n";
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
