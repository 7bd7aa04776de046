// Runs the simulated fault test for consecutive seeds within the given time. A
// seed reproduces its run.

#include <cxxopts.hpp>
#include <iostream>

#include "base/invariant.h"
#include "soak/soak.h"

namespace {

using geranium::Invariant;
using geranium::InvariantMonitor;
using geranium::soak::SoakReport;

struct Totals {
  std::uint64_t runs = 0;
  SoakReport sum;

  void Add(const SoakReport& report) {
    ++runs;
    for (const auto& [fault, count] : report.faults) {
      sum.faults[fault] += count;
    }
    sum.starts += report.starts;
    sum.complete += report.complete;
    sum.failed += report.failed;
    sum.refused += report.refused;
  }
};

bool PrintTotals(const Totals& totals) {
  std::cout << totals.runs << " runs: " << totals.sum.starts << " starts, "
            << totals.sum.complete << " complete, " << totals.sum.failed
            << " failed, " << totals.sum.refused << " refused\n";
  const InvariantMonitor& monitor = InvariantMonitor::Global();
  for (std::size_t i = 0; i < InvariantMonitor::kInvariantCount; ++i) {
    const auto invariant = static_cast<Invariant>(i);
    std::cout << "checked " << Name(invariant) << ": "
              << monitor.checks(invariant) << "\n";
  }
  bool all_injected = true;
  for (const std::string& fault : geranium::soak::RequiredFaults()) {
    const auto found = totals.sum.faults.find(fault);
    const std::uint64_t count =
        found == totals.sum.faults.end() ? 0 : found->second;
    std::cout << "injected " << fault << ": " << count << "\n";
    all_injected = all_injected && count > 0;
  }
  if (!all_injected) std::cout << "a required fault was never injected\n";
  return all_injected;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("geranium-soak",
                           "Randomised fault test in a simulation.");
  options.add_options()("h,help", "print this page")(
      "seed", "the first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "how long to start runs with further seeds",
      cxxopts::value<std::int64_t>()->default_value("30"))(
      "runs", "maximum number of runs; 0 for no limit",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    const geranium::TimePoint deadline =
        geranium::SystemClock().Now() +
        geranium::Duration(parsed["seconds"].as<std::int64_t>() * 1000);
    const auto max_runs = parsed["runs"].as<std::uint64_t>();
    Totals totals;
    std::uint64_t seed = parsed["seed"].as<std::uint64_t>();
    while (totals.runs == 0 || geranium::SystemClock().Now() < deadline) {
      const SoakReport report =
          geranium::soak::RunSoak(geranium::soak::OptionsForSeed(seed));
      totals.Add(report);
      if (report.violation) {
        std::cout << report.timeline << "violation with seed " << seed << ": "
                  << *report.violation << "\n";
        return 1;
      }
      ++seed;
      if (max_runs > 0 && totals.runs >= max_runs) break;
    }
    std::cout << "seeds " << parsed["seed"].as<std::uint64_t>() << " to "
              << seed - 1 << ", no violation\n";
    return PrintTotals(totals) ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "geranium-soak: " << error.what() << "; see --help\n";
    return 64;
  }
}
