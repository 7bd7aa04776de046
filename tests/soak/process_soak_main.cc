// Runs the randomised fault test on real processes for consecutive seeds.

#include <cxxopts.hpp>
#include <iostream>

#include "soak/process_soak.h"

namespace {

using geranium::Duration;
using geranium::soak::ProcessSoakOptions;
using geranium::soak::ProcessSoakReport;

/// Every third seed has only maintenance, which must interrupt no request.
constexpr std::uint64_t kMaintenanceSeedInterval = 3;
constexpr int kMaxEntries = 16;
constexpr int kMaxWorkers = 80;
constexpr int kExitUsage = 64;
constexpr std::int64_t kMsPerSecond = 1000;

// Returns whether the run had no violation.
bool RunSeed(ProcessSoakOptions options) {
  options.is_maintenance_only =
      !options.has_series && options.seed % kMaintenanceSeedInterval == 0;
  const ProcessSoakReport report = geranium::soak::RunProcessSoak(options);
  std::cout << "seed " << options.seed
            << (options.is_maintenance_only ? " (maintenance only)" : "")
            << ": " << report.completed << " completed, " << report.refused
            << " refused, " << report.resubmitted << " resubmitted, "
            << report.events.size() << " faults, " << report.violations.size()
            << " violations" << std::endl;
  if (report.violations.empty()) return true;
  for (const std::string& event : report.events) {
    std::cout << "  " << event << "\n";
  }
  for (const std::string& violation : report.violations) {
    std::cout << "  VIOLATION " << violation << "\n";
  }
  return false;
}

int Run(int argc, char** argv) {
  cxxopts::Options options("geranium-process-soak",
                           "Randomised fault test on real processes.");
  options.add_options()("h,help", "print this page")(
      "seed", "the first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
      "seconds", "how long faults are injected",
      cxxopts::value<std::int64_t>()->default_value("8"))(
      "entries", "number of entries",
      cxxopts::value<int>()->default_value("3"))(
      "workers", "number of workers",
      cxxopts::value<int>()->default_value("5"))(
      "callers", "number of callers",
      cxxopts::value<int>()->default_value("12"))(
      "series", "inject series of faults that overlap, too")(
      "port", "the first port on loopback; 30 are used for each worker",
      cxxopts::value<int>()->default_value("28000"));
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  ProcessSoakOptions soak;
  soak.seed = parsed["seed"].as<std::uint64_t>();
  soak.length = Duration(parsed["seconds"].as<std::int64_t>() * kMsPerSecond);
  soak.entries = parsed["entries"].as<int>();
  soak.workers = parsed["workers"].as<int>();
  soak.callers = parsed["callers"].as<int>();
  soak.port = parsed["port"].as<int>();
  soak.has_series = parsed["series"].as<bool>();
  if (soak.entries < 1 || soak.entries > kMaxEntries || soak.workers < 1 ||
      soak.workers > kMaxWorkers) {
    std::cerr << "geranium-process-soak: --entries takes 1 to " << kMaxEntries
              << ", --workers 1 to " << kMaxWorkers << "\n";
    return kExitUsage;
  }
  int failed = 0;
  for (int i = 0; i < parsed["seeds"].as<int>(); ++i, ++soak.seed) {
    failed += RunSeed(soak) ? 0 : 1;
  }
  std::cout << failed << " seeds failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "geranium-process-soak: " << error.what() << "\n";
    return 1;
  }
}
