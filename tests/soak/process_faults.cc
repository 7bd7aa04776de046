#include "soak/process_faults.h"

#include <signal.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace geranium::soak {
namespace {

using process::StepSite;
using Json = StepSite::Json;

constexpr Duration kExitCheckInterval{10};
/// A fault lasts kMinFaultMs plus less than kFaultRangeMs.
constexpr std::int64_t kMinFaultMs = 50;
constexpr std::size_t kFaultRangeMs = 2200;
/// Upper bound of the delay before an ended process is restarted.
constexpr std::size_t kMaxRestartDelayMs = 1500;
constexpr int kMaxFaults = 16;
constexpr int kMaxMaintenance = 6;
constexpr std::size_t kMaxDelayMs = 120;
/// The platform's limit from SIGTERM to the exit of a process.
constexpr Duration kGracePeriod{6000};
constexpr double kUnansweredShare = 0.1;
/// A series begins this often on average.
constexpr Duration kSeriesInterval{700};

}  // namespace

ProcessFaults::ProcessFaults(const ProcessSoakOptions& options, StepSite& site,
                             FaultProxy& proxy, EventSchedule& events,
                             ProcessSoakReport& report)
    : options_(options),
      site_(site),
      proxy_(proxy),
      events_(events),
      report_(report),
      random_(options.seed),
      start_(clock_.Now()) {
  const auto forward = [&](const std::string& listen,
                           const std::string& target) {
    proxy_.Forward(listen, target);
    paths_.push_back(listen);
  };
  for (int i = 0; i < options_.entries; ++i) {
    for (const std::string& address :
         {site_.LinkAddress(i), site_.CallerAddress(i)}) {
      forward(site_.ProxiedAddress(address), address);
    }
    forward(site_.StoreAddressFor(i), site_.StoreAddress());
  }
  for (int i = 0; i < options_.workers; ++i) {
    for (const std::string& address :
         {site_.WorkerAddress(i), site_.RegistrationAddress(i)}) {
      forward(site_.ProxiedAddress(address), address);
    }
  }
}

std::string ProcessFaults::Target::Name() const {
  return role == Role::kEntry ? StepSite::EntryName(index)
                              : StepSite::AgentName(index);
}

// ---- scheduling

void ProcessFaults::Schedule() {
  start_ = clock_.Now();
  const auto length = static_cast<std::size_t>(options_.length.ms());
  const auto add = [&](std::function<void()> fault) {
    const auto when = static_cast<std::int64_t>(random_.Below(length));
    events_.Add(start_ + Duration(when), std::move(fault));
  };
  const int faults = 4 + static_cast<int>(random_.Below(
                             options_.is_maintenance_only ? kMaxMaintenance - 3
                                                          : kMaxFaults - 3));
  for (int i = 0; i < faults; ++i) add([this] { InjectFault(); });
  if (!options_.has_series) return;
  const auto series = options_.length.ms() / kSeriesInterval.ms();
  for (std::int64_t i = 0; i < series; ++i) add([this] { InjectSeries(); });
}

void ProcessFaults::After(Duration delay, std::function<void()> event) {
  events_.Add(clock_.Now() + delay, std::move(event));
}

int ProcessFaults::RandomIndex(int count) {
  return static_cast<int>(random_.Below(static_cast<std::size_t>(count)));
}

Duration ProcessFaults::RandomDuration(std::int64_t least_ms,
                                       std::size_t range_ms) {
  return Duration(least_ms +
                  static_cast<std::int64_t>(random_.Below(range_ms)));
}

int ProcessFaults::Count(Role role) const {
  return role == Role::kEntry ? options_.entries : options_.workers;
}

std::vector<ProcessFaults::Target> ProcessFaults::RandomTargets(Role role,
                                                                double share) {
  std::vector<Target> targets;
  for (int i = 0; i < Count(role); ++i) targets.push_back({role, i});
  std::shuffle(targets.begin(), targets.end(), random_.engine());
  const auto count = static_cast<std::size_t>(share * Count(role));
  targets.resize(std::max<std::size_t>(1, count));
  return targets;
}

void ProcessFaults::RecordFault(const std::string& kind,
                                const std::string& detail) {
  ++report_.faults[kind];
  report_.events.push_back(std::to_string((clock_.Now() - start_).ms()) +
                           " ms: " + kind + " " + detail);
}

// ---- single faults

void ProcessFaults::InjectFault() {
  const Duration duration = RandomDuration(kMinFaultMs, kFaultRangeMs);
  const int entry = RandomIndex(options_.entries);
  const int worker = RandomIndex(options_.workers);
  const bool at_entry = random_.Chance(0.4);
  const Target target =
      at_entry ? Target{Role::kEntry, entry} : Target{Role::kAgent, worker};
  if (options_.is_maintenance_only) {
    RunMaintenance(target);
    return;
  }
  switch (random_.Below(10)) {
    case 0:
    case 1:
      if (unavailable_.contains(target.Name())) return;
      return Kill(target, RandomDuration(0, kMaxRestartDelayMs));
    case 2:
      return Pause(target, duration);
    case 3:
      return RunMaintenance(target);
    case 4:
    case 5:
    case 6:
      return InjectPathFault(duration);
    case 7:
      return InjectStoreFault(duration);
    default:
      return InjectWorkerFault(worker, duration);
  }
}

void ProcessFaults::Restart(const Target& target, Duration delay) {
  After(delay, [this, target] {
    if (target.role == Role::kEntry) {
      site_.StartEntry(target.index);
    } else {
      site_.StartAgent(target.index);
    }
    unavailable_.erase(target.Name());
  });
}

void ProcessFaults::Kill(const Target& target, Duration restart_delay) {
  if (!unavailable_.insert(target.Name()).second) return;
  RecordFault("kill", target.Name());
  site_.processes().Signal(target.Name(), SIGKILL);
  site_.processes().AwaitExit(target.Name());
  Restart(target, restart_delay);
}

void ProcessFaults::Pause(const Target& target, Duration duration) {
  const std::string name = target.Name();
  if (!unavailable_.insert(name).second) return;
  RecordFault("pause", name + " for " + std::to_string(duration.ms()) + " ms");
  site_.processes().Signal(name, SIGSTOP);
  After(duration, [this, name] {
    site_.processes().Signal(name, SIGCONT);
    unavailable_.erase(name);
  });
}

void ProcessFaults::RunMaintenance(const Target& target) {
  const std::string name = target.Name();
  const std::size_t kind = random_.Below(3);
  if (kind == 0) {
    ++version_;
    RecordFault("manifest", std::to_string(version_));
    site_.Publish(StepSite::Manifest(version_));
  } else if (kind == 1) {
    if (unavailable_.contains(name)) return;
    RecordFault("reload", name);
    site_.processes().Signal(name, SIGHUP);
  } else {
    // One process at a time, as operators do; several would be an outage.
    if (!unavailable_.empty() && options_.is_maintenance_only) return;
    if (!unavailable_.insert(name).second) return;
    RecordFault("terminate", name);
    site_.processes().Signal(name, SIGTERM);
    PollExit(target, clock_.Now());
  }
}

void ProcessFaults::PollExit(const Target& target, TimePoint since) {
  After(kExitCheckInterval, [this, target, since] {
    const std::string name = target.Name();
    if (site_.processes().HasExited(name)) {
      const int status = site_.processes().AwaitExit(name);
      if (status != 0 && options_.is_maintenance_only) {
        report_.violations.push_back(name + " exited with status " +
                                     std::to_string(status));
      }
      Restart(target, RandomDuration(0, kMaxRestartDelayMs));
    } else if (clock_.Now() - since > kGracePeriod) {
      report_.violations.push_back(name +
                                   " did not exit within its grace period");
      site_.processes().Signal(name, SIGKILL);
      site_.processes().AwaitExit(name);
      Restart(target, RandomDuration(0, kMaxRestartDelayMs));
    } else {
      PollExit(target, since);
    }
  });
}

void ProcessFaults::InjectPathFault(Duration duration) {
  const std::string& path = paths_[random_.Below(paths_.size())];
  PathFault fault;
  fault.single_connection = random_.Chance(0.5);
  std::string kind;
  switch (random_.Below(5)) {
    case 0:
      kind = "delay";
      fault.delay =
          Duration(1 + static_cast<std::int64_t>(random_.Below(kMaxDelayMs)));
      break;
    case 1:
      kind = "reset";
      fault.reset = true;
      break;
    case 2:
      kind = "stall-to-server";
      fault.stall_to_server = true;
      break;
    case 3:
      kind = "stall-to-client";
      fault.stall_to_client = true;
      break;
    default:
      kind = "stall";
      fault.stall_to_server = true;
      fault.stall_to_client = true;
  }
  RecordFault(kind, path + (fault.single_connection ? " one connection" : "") +
                        " for " + std::to_string(duration.ms()) + " ms");
  proxy_.SetFault(path, fault);
  // A single stalled connection stays so until its peers close it.
  if (fault.single_connection) return;
  After(duration, [this, path] { proxy_.SetFault(path, PathFault{}); });
}

void ProcessFaults::InjectStoreFault(Duration duration) {
  const std::size_t kind = random_.Below(3);
  if (kind == 0) {
    RecordFault("store-forgets", "");
    site_.Control("store", {{"forget", true}});
    return;
  }
  RecordFault(kind == 1 ? "store-busy" : "store-silent",
              std::to_string(duration.ms()) + " ms");
  site_.Control("store", {{"up", kind != 1}, {"silent", kind == 2}});
  After(duration, [this] { site_.Control("store", Json::object()); });
}

void ProcessFaults::InjectWorkerFault(int worker, Duration duration) {
  const std::vector<std::string> kinds = {"restart", "unanswered", "draining",
                                          "hangs"};
  const std::string& kind = kinds[random_.Below(kinds.size())];
  RecordFault("worker-" + kind, std::to_string(worker));
  Json fault = {{"worker", worker}};
  if (kind == "unanswered") {
    fault[kind] = kUnansweredShare;
  } else {
    fault[kind] = true;
  }
  site_.Control("worker", fault);
  // A draining worker ends and is replaced by a new one.
  const Json after = {{"worker", worker}, {"restart", kind == "draining"}};
  After(kind == "draining" ? duration * 3 : duration,
        [this, after] { site_.Control("worker", after); });
}

}  // namespace geranium::soak
