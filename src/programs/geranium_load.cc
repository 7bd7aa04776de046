#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/load_report.h"
#include "load/load_run.h"
#include "settings/command_line.h"

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("geranium-load",
                           "Sends an open-loop load and reports on it.");
  options.add_options()("h,help", "print this page")("version",
                                                     "print the version")(
      "entries", "HTTP addresses, comma-separated",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "127.0.0.1:7001,127.0.0.1:7002"))(
      "slots", "slots of the site",
      cxxopts::value<double>()->default_value("88"))(
      "load", "work to offer, as a fraction of the slots",
      cxxopts::value<double>()->default_value("0.6"))(
      "seconds", "length of the run",
      cxxopts::value<std::int64_t>()->default_value("10"))(
      "warm-up-seconds", "load sent first and not reported",
      cxxopts::value<std::int64_t>()->default_value("2"))(
      "seed", "random seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "trip-ms", "network time included in the ideal response time",
      cxxopts::value<double>()->default_value("1"))(
      "deadline-ms", "deadline of each submission",
      cxxopts::value<std::int64_t>()->default_value("30000"))(
      "shares", "parts of the work: lookup, booking, quote, batch",
      cxxopts::value<std::vector<double>>()->default_value("0.1,0.3,0.2,0.4"))(
      "keyed", "fraction of bookings with an idempotency key",
      cxxopts::value<double>()->default_value("0.5"))("json", "print JSON");
  return options;
}

int Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "geranium-load " << GERANIUM_VERSION << "\n";
    return 0;
  }
  geranium::LoadOptions load;
  load.entries = parsed["entries"].as<std::vector<std::string>>();
  load.offered_load =
      parsed["slots"].as<double>() * parsed["load"].as<double>();
  load.length = geranium::Duration(parsed["seconds"].as<std::int64_t>() * 1000);
  load.warm_up =
      geranium::Duration(parsed["warm-up-seconds"].as<std::int64_t>() * 1000);
  load.deadline = geranium::Duration(parsed["deadline-ms"].as<std::int64_t>());
  load.round_trip_ms = parsed["trip-ms"].as<double>();
  load.workload.seed = parsed["seed"].as<std::uint64_t>();
  load.workload.keyed_bookings = parsed["keyed"].as<double>();
  const auto shares = parsed["shares"].as<std::vector<double>>();
  const bool usable = load.offered_load > 0 && load.length.ms() > 0 &&
                      shares.size() == geranium::kWorkKinds;
  if (!usable) {
    std::cerr << "geranium-load: --slots, --load and --seconds must be "
                 "above 0 and --shares must have 4 numbers; see --help\n";
    return geranium::kExitUsage;
  }
  std::copy(shares.begin(), shares.end(), load.workload.shares.begin());
  const geranium::LoadReport report = geranium::LoadRun(load).Run();
  if (parsed.count("json") > 0) {
    std::cout << ToJson(report).dump() << "\n";
  } else {
    std::cout << "seed " << load.workload.seed << "\n" << ToTable(report);
  }
  return report.IsAccountedFor() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "geranium-load: " << error.what() << "; see --help\n";
    return geranium::kExitUsage;
  }
}
