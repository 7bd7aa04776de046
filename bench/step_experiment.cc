// Simulates step jobs on modelled workers. Prints the outcomes for callers and
// the utilisation of workers for each time window.
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

#include "step_simulator.h"

namespace {

using geranium::Duration;
using geranium::TimePoint;
using geranium::standins::StepSimulator;

constexpr int kExitUsage = 64;

struct Snapshot {
  double running = 0;   ///< Processors in use at workers.
  double reserved = 0;  ///< Processors in use as counted by agents.
  double capacity = 0;
};

Snapshot TakeSnapshot(StepSimulator& world, int workers) {
  Snapshot snapshot;
  for (int i = 0; i < workers; ++i) {
    snapshot.running += world.worker(i).in_use().cpu;
    snapshot.reserved += world.session(i).in_use().cpu;
    snapshot.capacity += world.worker(i).self().capacity.cpu;
  }
  return snapshot;
}

int RunExperiment(int argc, char** argv) {
  cxxopts::Options options("geranium-step-experiment",
                           "Simulates step jobs on modelled workers.");
  options.add_options()("h,help", "print this page")(
      "factor", "load relative to the users' usual rates",
      cxxopts::value<double>()->default_value("1"))(
      "seconds", "length of the run",
      cxxopts::value<int>()->default_value("8"))(
      "seed", "random seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "workers", "number of workers",
      cxxopts::value<int>()->default_value("11"))(
      "entries", "number of entries",
      cxxopts::value<int>()->default_value("4"))(
      "entry-links", "entries that each agent is linked to",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "unanswered", "share of orders without an answer",
      cxxopts::value<double>()->default_value("0"))(
      "racks", "share of jobs that require a rack",
      cxxopts::value<double>()->default_value("0"))(
      "wait-percent", "see AdmissionOptions",
      cxxopts::value<std::int64_t>()->default_value("50"))(
      "late-percent", "see AdmissionOptions",
      cxxopts::value<std::int64_t>()->default_value("50"))(
      "urgent-ahead", "see StepSchedulerOptions",
      cxxopts::value<double>()->default_value("0.17"))(
      "urgent-reserve", "see StepSchedulerOptions",
      cxxopts::value<double>()->default_value("1"))(
      "local-reserve", "see StepSchedulerOptions",
      cxxopts::value<double>()->default_value("0.2"))(
      "same-rack", "these jobs all require the first rack")(
      "large-tasks", "tasks of a quarter of a worker of 32 cores")(
      "cores", "cores of a worker",
      cxxopts::value<double>()->default_value("36"))(
      "rack", "workers in a rack", cxxopts::value<int>()->default_value("3"))(
      "slow", "factor by which worker 2 is slow, from half of the length on",
      cxxopts::value<double>()->default_value("1"))(
      "hang", "worker 5 hangs, from half of the length on");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  geranium::standins::StepSimulatorOptions world_options;
  world_options.seed = parsed["seed"].as<std::uint64_t>();
  world_options.workers = parsed["workers"].as<int>();
  world_options.entries = parsed["entries"].as<int>();
  world_options.entry_links = parsed["entry-links"].as<std::size_t>();
  const double factor = parsed["factor"].as<double>();
  world_options.load = parsed.count("large-tasks") > 0
                           ? geranium::standins::LargeTaskLoad(factor)
                           : geranium::standins::ReferenceLoad(factor);
  world_options.worker_capacity.cpu = parsed["cores"].as<double>();
  world_options.workers_per_rack = parsed["rack"].as<int>();
  for (auto& kind : world_options.load) {
    kind.rack_share = parsed["racks"].as<double>();
    kind.same_rack = parsed.count("same-rack") > 0;
  }
  world_options.scheduler.admission.wait_percent =
      parsed["wait-percent"].as<std::int64_t>();
  world_options.scheduler.admission.late_percent =
      parsed["late-percent"].as<std::int64_t>();
  world_options.scheduler.placement.urgent_ahead =
      parsed["urgent-ahead"].as<double>();
  world_options.scheduler.urgent_reserve =
      parsed["urgent-reserve"].as<double>();
  world_options.scheduler.placement.local_reserve =
      parsed["local-reserve"].as<double>();
  StepSimulator world(world_options);
  for (int i = 0; i < world_options.workers; ++i) {
    world.faults(i).unanswered = parsed["unanswered"].as<double>();
  }
  const TimePoint end(1600 + 1000 * parsed["seconds"].as<int>());
  world.At(TimePoint((1600 + end.ms()) / 2), [&] {
    world.faults(2).slowdown = parsed["slow"].as<double>();
    world.faults(5).hangs = parsed.count("hang") > 0;
  });
  std::cout << std::fixed << std::setprecision(2)
            << "   ms  busy reserved  open  asked in objective late refused\n";
  constexpr Duration kWindow{500};
  geranium::standins::ClassReport before;
  for (TimePoint until(1600); until < end + Duration(3000);
       until = until + kWindow) {
    Snapshot sum;
    int samples = 0;
    for (; world.now() < until; ++samples) {
      world.Run(world.now() + Duration(10), world.now() < end);
      const Snapshot now = TakeSnapshot(world, world_options.workers);
      sum.running += now.running;
      sum.reserved += now.reserved;
      sum.capacity += now.capacity;
    }
    geranium::standins::ClassReport total;
    for (const auto& [name, report] : world.Report()) {
      total.submitted += report.submitted;
      total.within_objective += report.within_objective;
      total.late += report.late + report.too_late;
      total.refused += report.refused;
    }
    std::size_t open = 0;
    for (int i = 0; i < world_options.entries; ++i) {
      open += world.entry(i).scheduler().open_jobs();
    }
    if (sum.capacity > 0) {
      std::cout << std::setw(5) << until.ms() << std::setw(6)
                << sum.running / sum.capacity << std::setw(9)
                << sum.reserved / sum.capacity << std::setw(6) << open
                << std::setw(7) << total.submitted - before.submitted
                << std::setw(8)
                << total.within_objective - before.within_objective
                << std::setw(5) << total.late - before.late << std::setw(8)
                << total.refused - before.refused << "\n";
    }
    before = total;
  }
  for (const auto& [name, report] : world.Report()) {
    std::cout << name << ": asked " << report.submitted << ", in objective "
              << report.within_objective << ", late " << report.late
              << ", useless " << report.too_late << ", refused "
              << report.refused << ", failed " << report.failed << ", worth "
              << report.Utility() << "\n";
  }
  std::cout << "worth " << world.Utility() << ", violations "
            << world.violations().size() << "\n";
  return world.violations().empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunExperiment(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "geranium-step-experiment: " << error.what()
              << "; see --help\n";
    return kExitUsage;
  }
}
