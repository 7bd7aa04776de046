#include "soak/soak.h"

#include <functional>
#include <utility>

#include "soak/simulator.h"

namespace geranium::soak {
namespace {

constexpr Duration kSubmitInterval{25};
constexpr Duration kFaultInterval{400};
constexpr Duration kStartUpTime{1500};
constexpr Duration kRecoveryTime{14'000};
constexpr std::size_t kTimelineEvents = 6000;

constexpr char kServiceConfig[] =
    "[data_centre north]\nregion = r\n[data_centre south]\nregion = r\n"
    "[service lookup]\nclass = urgent\nidempotent = true\ntimeout_ms = 1500\n"
    "[service booking]\ntimeout_ms = 2500\n"
    "[service batch]\nclass = bulk\ntimeout_ms = 2500\ndepends = lookup\n";

/// Submits random operations to a simulation and injects random faults.
class Driver {
 public:
  explicit Driver(const SoakOptions& options)
      : options_(options), sim_(SimulatorOptionsFor(options)) {}

  void Run() {
    PublishConfiguration();
    sim_.RunUntil(sim_.now() + kStartUpTime);
    end_ = sim_.now() + options_.length;
    SubmitNext();
    InjectNext();
    sim_.RunUntil(end_);
    HealAll();
    sim_.RunUntil(sim_.now() + kRecoveryTime);
    CheckFinalState();
  }

  Simulator& sim() { return sim_; }

 private:
  static SimulatorOptions SimulatorOptionsFor(const SoakOptions& options) {
    SimulatorOptions simulator;
    simulator.seed = options.seed;
    simulator.log_outage_rule = options.log_outage_rule;
    simulator.policy = options.policy;
    return simulator;
  }

  Random& random() { return sim_.random(); }

  Duration RandomDuration(std::int64_t min, std::int64_t max) {
    const auto width = static_cast<std::size_t>(max - min);
    return Duration(min + static_cast<std::int64_t>(random().Below(width + 1)));
  }

  std::size_t RandomEntry() { return random().Below(sim_.options().entries); }

  std::size_t RandomAgent() {
    return sim_.options().entries + random().Below(sim_.options().agents);
  }

  // ---- submissions

  void SubmitNext() {
    if (sim_.now() >= end_) return;
    SubmitOne();
    const Duration gap = bursting_ ? kSubmitInterval / 3 : kSubmitInterval;
    sim_.Schedule(random().Jitter(gap), [this] { SubmitNext(); });
  }

  void SubmitOne() {
    Operation operation;
    operation.number = next_operation_++;
    const std::size_t kind = random().Below(4);
    operation.kind =
        kind == 0 ? SubmissionKind::kJob : SubmissionKind::kRequest;
    operation.idempotent = kind == 1;
    if (kind == 0) operation.tasks = 1 + random().Below(5);
    const bool keyed = !operation.idempotent && random().Chance(0.6);
    if (keyed) operation.key = DrawKey(operation.number);
    const std::uint64_t number = sim_.checker().AddOperation(operation).number;
    sim_.Submit(number, RandomEntry());
    if (!keyed || !random().Chance(0.4)) return;
    // The caller retries, as after a timeout or the loss of its entry;
    // sometimes at once.
    const Duration after =
        random().Chance(0.3) ? Duration(0) : RandomDuration(1, 4000);
    sim_.Schedule(after, [this, number] {
      sim_.CountFault("resubmission");
      sim_.Submit(number, RandomEntry());
    });
  }

  IdempotencyKey DrawKey(std::uint64_t number) {
    Process& minter = sim_.process(RandomEntry());
    if (minter.alive && !minter.frozen && random().Chance(0.3)) {
      return minter.entry->MintKey();
    }
    return IdempotencyKey("key-" + std::to_string(number));
  }

  // ---- operators

  void PublishConfiguration() {
    sim_.AppendConfiguration(
        TextRecord{kServiceConfig, sim_.reference_state().text_version}, true);
  }

  void ToggleDataCentre() {
    const auto& data_centres = sim_.reference_state().data_centres;
    if (data_centres.empty()) return;
    const DataCentreState centre =
        data_centres[random().Below(data_centres.size())];
    const DataCentreRecord record{centre.name, !centre.in, centre.changed};
    const bool push_to_entries = random().Chance(0.5);
    sim_.CountFault(centre.in ? "data centre out" : "data centre in");
    sim_.AppendConfiguration(record, push_to_entries);
    if (random().Chance(0.3)) {
      // A second operator submits the same change from the same state.
      sim_.CountFault("operators race");
      sim_.AppendConfiguration(record, push_to_entries);
    }
    if (random().Chance(0.3)) InjectLogFault(LogFault::kOutage);
  }

  // ---- faults

  void InjectNext() {
    if (sim_.now() >= end_) return;
    InjectFault();
    sim_.Schedule(random().Jitter(kFaultInterval), [this] { InjectNext(); });
  }

  void InjectFor(const std::string& fault, Duration duration,
                 std::function<void()> undo) {
    sim_.CountFault(fault);
    sim_.Schedule(duration, std::move(undo));
  }

  void InjectFault() {
    const std::vector<std::function<void()>> faults = {
        [this] { KillAgent(); },
        [this] { FreezeAgent(); },
        [this] { KillEntry(); },
        [this] { FreezeEntry(); },
        [this] { PartitionLink(); },
        [this] { PartitionFromLog(); },
        [this] { InjectMessageFaults(); },
        [this] { InjectBackendFault(); },
        [this] { InjectBackendFault(); },
        [this] { InjectLogFault(DrawLogFault()); },
        [this] { ToggleDataCentre(); },
        [this] { ToggleDataCentre(); },
        [this] { LeaveAgent(); },
        [this] { LeaveEntry(); },
        [this] { CancelAllSubmissions(); },
        [this] { Burst(); },
        [this] {
          sim_.CountFault("new service configuration");
          PublishConfiguration();
        }};
    faults[random().Below(faults.size())]();
  }

  void Restart(std::size_t index, Duration after) {
    sim_.Kill(index);
    sim_.Schedule(after, [this, index] {
      if (!sim_.process(index).alive) sim_.Start(index);
    });
  }

  void KillAgent() {
    const std::size_t index = RandomAgent();
    if (!sim_.process(index).alive) return;
    sim_.CountFault("agent killed");
    Restart(index, RandomDuration(50, 4000));
  }

  void KillEntry() {
    const std::size_t index = RandomEntry();
    if (!sim_.process(index).alive) return;
    sim_.CountFault("entry killed");
    Restart(index, RandomDuration(50, 3000));
  }

  void FreezeFor(std::size_t index, const std::string& fault) {
    Process& process = sim_.process(index);
    if (!process.alive || process.frozen) return;
    sim_.Freeze(index);
    const std::uint64_t generation = process.generation;
    InjectFor(fault, RandomDuration(20, 8000), [this, index, generation] {
      if (sim_.process(index).generation == generation) sim_.Thaw(index);
    });
  }

  void FreezeAgent() { FreezeFor(RandomAgent(), "agent frozen"); }
  void FreezeEntry() { FreezeFor(RandomEntry(), "entry frozen"); }

  void PartitionLink() {
    const std::size_t entry = RandomEntry();
    const std::size_t other = random().Below(sim_.size());
    if (entry == other) return;
    sim_.Partition(entry, other);
    InjectFor("link cut", RandomDuration(1, 6000),
              [this, entry, other] { sim_.Heal(entry, other); });
  }

  void PartitionFromLog() {
    const std::size_t entry = RandomEntry();
    sim_.process(entry).log_unreachable = true;
    InjectFor("entry cut from the log", RandomDuration(100, 8000),
              [this, entry] { sim_.process(entry).log_unreachable = false; });
  }

  void InjectMessageFaults() {
    sim_.message_faults() = MessageFaults{random().Chance(0.5) ? 0.03 : 0.0,
                                          random().Chance(0.5) ? 0.05 : 0.0,
                                          random().Chance(0.5) ? 0.05 : 0.0};
    InjectFor("message faults", RandomDuration(500, 3000),
              [this] { sim_.message_faults() = MessageFaults{}; });
  }

  void InjectBackendFault() {
    static const std::vector<std::pair<BackendFault, std::string>> choices = {
        {BackendFault::kFrozen, "backend frozen"},
        {BackendFault::kFails, "backend fails"},
        {BackendFault::kRefuses, "backend refuses"},
        {BackendFault::kStraggles, "backend straggles"}};
    const auto& [fault, name] = choices[random().Below(choices.size())];
    const std::size_t agent = RandomAgent();
    sim_.SetBackendFault(agent, fault);
    InjectFor(name, RandomDuration(200, 6000), [this, agent] {
      sim_.SetBackendFault(agent, BackendFault::kNone);
    });
  }

  LogFault DrawLogFault() {
    const LogFault faults[] = {LogFault::kOutage, LogFault::kSlow,
                               LogFault::kLosesAnswers};
    return faults[random().Below(3)];
  }

  void InjectLogFault(LogFault fault) {
    const char* names[] = {"", "log outage", "log slow", "log loses answers"};
    sim_.SetLogFault(fault);
    InjectFor(names[static_cast<int>(fault)], RandomDuration(200, 6000),
              [this] { sim_.SetLogFault(LogFault::kNone); });
  }

  void LeaveAgent() {
    const std::size_t index = RandomAgent();
    const Process& process = sim_.process(index);
    if (!process.alive || process.leaving_since) return;
    sim_.CountFault("agent leaves");
    sim_.Leave(index);
    AwaitIdle(index, process.generation);
  }

  void LeaveEntry() {
    const std::size_t index = RandomEntry();
    const Process& process = sim_.process(index);
    if (!process.alive || process.leaving_since) return;
    sim_.CountFault("entry leaves");
    sim_.Leave(index);
    AwaitIdle(index, process.generation);
  }

  // Replaces a leaving process once it is idle; no caller may be waiting for it
  // then.
  void AwaitIdle(std::size_t index, std::uint64_t generation) {
    sim_.Schedule(Duration(100), [this, index, generation] {
      Process& process = sim_.process(index);
      if (!process.alive || process.generation != generation) return;
      const bool left = process.leaving_since && !process.frozen;
      const bool idle = left && (process.entry ? process.entry->IsIdle()
                                               : process.agent->IsIdle());
      if (!idle) {
        AwaitIdle(index, generation);
        return;
      }
      InvariantMonitor::Global().Check(
          Invariant::kShutdownCutsNothing, !sim_.HasCallersAt(index),
          "entry " + std::to_string(index) + " is idle with callers waiting");
      Restart(index, RandomDuration(50, 1000));
    });
  }

  void CancelAllSubmissions() {
    sim_.CountFault("cancel wave");
    sim_.CancelAll();
  }

  void Burst() {
    bursting_ = true;
    InjectFor("burst", RandomDuration(500, 2000),
              [this] { bursting_ = false; });
  }

  // ---- final state

  void HealAll() {
    sim_.SetLogFault(LogFault::kNone);
    sim_.message_faults() = MessageFaults{};
    for (std::size_t i = 0; i < sim_.size(); ++i) {
      if (!sim_.IsEntry(i)) sim_.SetBackendFault(i, BackendFault::kNone);
      sim_.process(i).log_unreachable = false;
      if (sim_.process(i).frozen) sim_.Thaw(i);
      for (std::size_t j = 0; j < i; ++j) sim_.Heal(i, j);
    }
  }

  void CheckFinalState() {
    InvariantMonitor& monitor = InvariantMonitor::Global();
    monitor.Check(Invariant::kAnswerCompleteOrFailed,
                  sim_.checker().outstanding() == 0,
                  std::to_string(sim_.checker().outstanding()) +
                      " submissions were never answered");
    const std::string stale = sim_.StaleProcesses();
    monitor.Check(Invariant::kConfigurationNeverReverts, stale.empty(),
                  "version " +
                      std::to_string(sim_.reference_state().version.value()) +
                      " has not reached all processes:" + stale);
  }

  SoakOptions options_;
  Simulator sim_;
  TimePoint end_;
  std::uint64_t next_operation_ = 1;
  bool bursting_ = false;
};

}  // namespace

const std::vector<std::string>& RequiredFaults() {
  static const std::vector<std::string> faults = {
      "agent killed",       "agent frozen",
      "entry killed",       "entry frozen",
      "link cut",           "entry cut from the log",
      "message lost",       "message duplicated",
      "message delayed",    "backend frozen",
      "backend fails",      "backend refuses",
      "backend straggles",  "call failed",
      "connection refused", "log outage",
      "log slow",           "log loses answers",
      "append answer lost", "append failed in an outage",
      "data centre out",    "data centre in",
      "operators race",     "new service configuration",
      "agent leaves",       "entry leaves",
      "cancel wave",        "burst",
      "resubmission"};
  return faults;
}

SoakOptions OptionsForSeed(std::uint64_t seed) {
  SoakOptions options;
  options.seed = seed;
  options.log_outage_rule =
      seed % 2 == 0 ? LogOutageRule::kStop : LogOutageRule::kMajority;
  if (seed % 5 == 0) options.policy = PushToLeastLoaded{};
  return options;
}

SoakReport RunSoak(const SoakOptions& options) {
  InvariantMonitor::Global().SetHandler(
      [](Invariant invariant, const std::string& detail) {
        throw Violation(invariant, detail);
      });
  Driver driver(options);
  SoakReport report;
  try {
    driver.Run();
  } catch (const Violation& violation) {
    report.violation = violation.what();
    report.timeline = driver.sim().Timeline(kTimelineEvents);
  }
  const InvariantChecker& checker = driver.sim().checker();
  report.faults = driver.sim().fault_counts();
  report.starts = checker.starts();
  report.complete = checker.complete();
  report.failed = checker.failed();
  report.refused = checker.refused();
  InvariantMonitor::Global().SetHandler(nullptr);
  return report;
}

}  // namespace geranium::soak
