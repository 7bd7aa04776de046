#include <signal.h>

#include <chrono>
#include <thread>

#include "soak/process_faults.h"

// Series of faults that overlap, at many processes at once.

namespace geranium::soak {
namespace {

using process::StepSite;

constexpr std::int64_t kMinSeriesMs = 500;
constexpr std::size_t kSeriesRangeMs = 3500;
/// Of the orders that a worker rejects, and of the workers that do.
constexpr double kRejectedShare = 0.5;
constexpr double kRejectingWorkers = 0.3;
/// Of the connections that are reset at a time, and of the paths.
constexpr double kResetShare = 0.34;
constexpr double kResetPaths = 0.9;
constexpr Duration kResetInterval{300};
/// Least and greatest share of the machines that stand still at once.
constexpr double kMinStopped = 0.1;
constexpr std::size_t kStoppedRangePercent = 50;
/// Of the standstills: of the whole site, or of the workers, too.
constexpr double kWholeSiteShare = 0.2;
constexpr double kStoppedWorkersShare = 0.3;
/// Two rounds of a series of kills are at most this far apart.
constexpr std::size_t kKillIntervalMs = 1200;
constexpr std::size_t kMaxQuickRestartMs = 1000;
/// Half of the restarts are as quick as a supervisor's.
constexpr std::size_t kSupervisorRestartMs = 30;
constexpr std::size_t kMaxKillRounds = 3;
constexpr double kKilledShare = 0.25;
constexpr std::int64_t kMinWorkerStopMs = 50;
constexpr std::size_t kWorkerStopRangeMs = 600;

}  // namespace

void ProcessFaults::InjectSeries() {
  const Duration duration = RandomDuration(kMinSeriesMs, kSeriesRangeMs);
  switch (random_.Below(5)) {
    case 0:
      return RejectAndReset(duration);
    case 1:
      return StopMachines(duration);
    case 2:
      return KillInSeries(1 + static_cast<int>(random_.Below(kMaxKillRounds)));
    case 3:
      return CutCallers(duration);
    default:
      break;
  }
  std::vector<std::string> callers;
  for (const Target& entry : RandomTargets(Role::kEntry, kResetPaths)) {
    callers.push_back(site_.ProxiedAddress(site_.CallerAddress(entry.index)));
  }
  RecordFault("reset-callers", std::to_string(duration.ms()) + " ms");
  ResetInSeries(callers, kResetShare, clock_.Now() + duration);
}

// Workers reject orders while the connections to them are reset.
void ProcessFaults::RejectAndReset(Duration duration) {
  std::vector<std::string> paths;
  for (const Target& agent : RandomTargets(Role::kAgent, kResetPaths)) {
    paths.push_back(site_.ProxiedAddress(site_.WorkerAddress(agent.index)));
  }
  RecordFault("reject-and-reset", std::to_string(duration.ms()) + " ms");
  const auto rejecting = RandomTargets(Role::kAgent, kRejectingWorkers);
  const auto reject = [this, rejecting](double share) {
    for (const Target& agent : rejecting) {
      site_.Control("worker", {{"worker", agent.index}, {"busy", share}});
    }
  };
  reject(kRejectedShare);
  ResetInSeries(paths, kResetShare, clock_.Now() + duration);
  After(duration, [reject] { reject(0); });
}

void ProcessFaults::ResetInSeries(const std::vector<std::string>& paths,
                                  double share, TimePoint end) {
  PathFault fault;
  fault.reset = true;
  fault.reset_share = share;
  for (const std::string& path : paths) proxy_.SetFault(path, fault);
  if (clock_.Now() + kResetInterval >= end) return;
  After(kResetInterval,
        [this, paths, share, end] { ResetInSeries(paths, share, end); });
}

// All that runs on a part of the machines stands still at once; at times the
// workers, too, or the whole site.
void ProcessFaults::StopMachines(Duration duration) {
  const bool is_whole = random_.Chance(kWholeSiteShare);
  const double share =
      is_whole
          ? 1
          : kMinStopped +
                static_cast<double>(random_.Below(kStoppedRangePercent)) / 100;
  for (const Role role : {Role::kEntry, Role::kAgent}) {
    for (const Target& target : RandomTargets(role, share)) {
      Pause(target, duration);
    }
  }
  if (!is_whole && !random_.Chance(kStoppedWorkersShare)) return;
  const Duration workers =
      is_whole ? duration
               : RandomDuration(kMinWorkerStopMs, kWorkerStopRangeMs);
  RecordFault("pause", "workers for " + std::to_string(workers.ms()) + " ms");
  // Controls of the stand-in would block meanwhile.
  site_.processes().Signal("platform", SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(workers.ms()));
  site_.processes().Signal("platform", SIGCONT);
}

void ProcessFaults::KillInSeries(int rounds) {
  for (const Role role : {Role::kEntry, Role::kAgent}) {
    for (const Target& target : RandomTargets(role, kKilledShare)) {
      const std::size_t range =
          random_.Chance(0.5) ? kSupervisorRestartMs : kMaxQuickRestartMs;
      Kill(target, RandomDuration(0, range));
    }
  }
  if (rounds == 1) return;
  After(RandomDuration(1, kKillIntervalMs),
        [this, rounds] { KillInSeries(rounds - 1); });
}

// Entries that notice nothing lose the connections to their callers.
void ProcessFaults::CutCallers(Duration duration) {
  for (const Target& entry : RandomTargets(Role::kEntry, kKilledShare)) {
    const std::string path =
        site_.ProxiedAddress(site_.CallerAddress(entry.index));
    PathFault fault;
    fault.stall_to_client = true;
    fault.stall_to_server = random_.Chance(0.7);
    RecordFault("cut-callers",
                entry.Name() + " for " + std::to_string(duration.ms()) + " ms");
    proxy_.SetFault(path, fault);
    After(duration, [this, path] { proxy_.SetFault(path, PathFault{}); });
  }
}

}  // namespace geranium::soak
