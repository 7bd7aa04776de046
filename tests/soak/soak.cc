#include "soak/soak.h"

#include <functional>
#include <utility>

#include "soak/world.h"

namespace geranium::soak {
namespace {

constexpr Duration kSubmitEvery{25};
constexpr Duration kFaultEvery{400};
constexpr Duration kStartUp{1500};
constexpr Duration kHealing{14'000};
constexpr std::size_t kTimeLineEvents = 6000;

constexpr char kText[] =
    "[data_centre north]\nregion = r\n[data_centre south]\nregion = r\n"
    "[service lookup]\nclass = urgent\nidempotent = true\ntimeout_ms = 1500\n"
    "[service booking]\ntimeout_ms = 2500\n"
    "[service batch]\nclass = bulk\ntimeout_ms = 2500\ndepends = lookup\n";

/// Draws submissions and faults for a world and lets them strike.
class Driver {
 public:
  explicit Driver(const SoakOptions& options)
      : options_(options), world_(WorldFor(options)) {}

  void Run() {
    Publish();
    world_.RunUntil(world_.now() + kStartUp);
    end_ = world_.now() + options_.length;
    SubmitNext();
    FaultNext();
    world_.RunUntil(end_);
    Heal();
    world_.RunUntil(world_.now() + kHealing);
    CheckEnd();
  }

  World& world() { return world_; }

 private:
  static WorldOptions WorldFor(const SoakOptions& options) {
    WorldOptions world;
    world.seed = options.seed;
    world.rule = options.rule;
    world.policy = options.policy;
    return world;
  }

  Random& random() { return world_.random(); }

  Duration Span(std::int64_t least, std::int64_t most) {
    const auto width = static_cast<std::size_t>(most - least);
    return Duration(least +
                    static_cast<std::int64_t>(random().Below(width + 1)));
  }

  std::size_t AnyEntry() { return random().Below(world_.options().entries); }

  std::size_t AnyAgent() {
    return world_.options().entries + random().Below(world_.options().agents);
  }

  // ---- submissions

  void SubmitNext() {
    if (world_.now() >= end_) return;
    SubmitOne();
    const Duration gap = bursting_ ? kSubmitEvery / 3 : kSubmitEvery;
    world_.At(random().Jitter(gap), [this] { SubmitNext(); });
  }

  void SubmitOne() {
    Wish wish;
    wish.number = next_wish_++;
    const std::size_t kind = random().Below(4);
    wish.kind = kind == 0 ? SubmissionKind::kJob : SubmissionKind::kRequest;
    wish.idempotent = kind == 1;
    if (kind == 0) wish.tasks = 1 + random().Below(5);
    const bool keyed = !wish.idempotent && random().Chance(0.6);
    if (keyed) wish.key = DrawKey(wish.number);
    const std::uint64_t number = world_.judge().AddWish(wish).number;
    world_.Submit(number, AnyEntry());
    if (!keyed || !random().Chance(0.4)) return;
    // A caller that is impatient, or that has lost its entry, tries again,
    // sometimes at once.
    const Duration after = random().Chance(0.3) ? Duration(0) : Span(1, 4000);
    world_.At(after, [this, number] {
      world_.Count("resubmission");
      world_.Submit(number, AnyEntry());
    });
  }

  IdempotencyKey DrawKey(std::uint64_t number) {
    Process& minter = world_.process(AnyEntry());
    if (minter.alive && !minter.frozen && random().Chance(0.3)) {
      return minter.entry->MintKey();
    }
    return IdempotencyKey("key-" + std::to_string(number));
  }

  // ---- operators

  void Publish() {
    world_.AppendConfiguration(TextRecord{kText, world_.truth().text_version},
                               true);
  }

  void MoveDataCentre() {
    const auto& centres = world_.truth().data_centres;
    if (centres.empty()) return;
    const DataCentreState centre = centres[random().Below(centres.size())];
    const DataCentreRecord record{centre.name, !centre.in, centre.changed};
    const bool hand_over = random().Chance(0.5);
    world_.Count(centre.in ? "data centre out" : "data centre in");
    world_.AppendConfiguration(record, hand_over);
    if (random().Chance(0.3)) {
      // Another operator did the same from the same state.
      world_.Count("operators race");
      world_.AppendConfiguration(record, hand_over);
    }
    if (random().Chance(0.3)) FaultLog(LogFault::kOutage);
  }

  // ---- faults

  void FaultNext() {
    if (world_.now() >= end_) return;
    StrikeOne();
    world_.At(random().Jitter(kFaultEvery), [this] { FaultNext(); });
  }

  void For(const std::string& fault, Duration span,
           std::function<void()> undo) {
    world_.Count(fault);
    world_.At(span, std::move(undo));
  }

  void StrikeOne() {
    const std::vector<std::function<void()>> faults = {
        [this] { KillAgent(); },
        [this] { FreezeAgent(); },
        [this] { KillEntry(); },
        [this] { FreezeEntry(); },
        [this] { CutLink(); },
        [this] { CutFromLog(); },
        [this] { FaultMessages(); },
        [this] { FaultBackend(); },
        [this] { FaultBackend(); },
        [this] { FaultLog(DrawLogFault()); },
        [this] { MoveDataCentre(); },
        [this] { MoveDataCentre(); },
        [this] { LeaveAgent(); },
        [this] { LeaveEntry(); },
        [this] { CancelWave(); },
        [this] { Burst(); },
        [this] {
          world_.Count("new text");
          Publish();
        }};
    faults[random().Below(faults.size())]();
  }

  void Restart(std::size_t index, Duration after) {
    world_.Kill(index);
    world_.At(after, [this, index] {
      if (!world_.process(index).alive) world_.Start(index);
    });
  }

  void KillAgent() {
    const std::size_t index = AnyAgent();
    if (!world_.process(index).alive) return;
    world_.Count("agent killed");
    Restart(index, Span(50, 4000));
  }

  void KillEntry() {
    const std::size_t index = AnyEntry();
    if (!world_.process(index).alive) return;
    world_.Count("entry killed");
    Restart(index, Span(50, 3000));
  }

  void FreezeFor(std::size_t index, const std::string& fault) {
    Process& process = world_.process(index);
    if (!process.alive || process.frozen) return;
    world_.Freeze(index);
    const std::uint64_t generation = process.generation;
    For(fault, Span(20, 8000), [this, index, generation] {
      if (world_.process(index).generation == generation) world_.Thaw(index);
    });
  }

  void FreezeAgent() { FreezeFor(AnyAgent(), "agent frozen"); }
  void FreezeEntry() { FreezeFor(AnyEntry(), "entry frozen"); }

  void CutLink() {
    const std::size_t entry = AnyEntry();
    const std::size_t other = random().Below(world_.size());
    if (entry == other) return;
    world_.Cut(entry, other);
    For("link cut", Span(1, 6000),
        [this, entry, other] { world_.Heal(entry, other); });
  }

  void CutFromLog() {
    const std::size_t entry = AnyEntry();
    world_.process(entry).cut_from_log = true;
    For("entry cut from the log", Span(100, 8000),
        [this, entry] { world_.process(entry).cut_from_log = false; });
  }

  void FaultMessages() {
    world_.message_faults() = MessageFaults{random().Chance(0.5) ? 0.03 : 0.0,
                                            random().Chance(0.5) ? 0.05 : 0.0,
                                            random().Chance(0.5) ? 0.05 : 0.0};
    For("message faults", Span(500, 3000),
        [this] { world_.message_faults() = MessageFaults{}; });
  }

  void FaultBackend() {
    static const std::vector<std::pair<BackendFault, std::string>> choices = {
        {BackendFault::kFrozen, "backend frozen"},
        {BackendFault::kFails, "backend fails"},
        {BackendFault::kRefuses, "backend refuses"},
        {BackendFault::kStraggles, "backend straggles"}};
    const auto& [fault, name] = choices[random().Below(choices.size())];
    const std::size_t agent = AnyAgent();
    world_.SetBackend(agent, fault);
    For(name, Span(200, 6000),
        [this, agent] { world_.SetBackend(agent, BackendFault::kNone); });
  }

  LogFault DrawLogFault() {
    const LogFault faults[] = {LogFault::kOutage, LogFault::kSlow,
                               LogFault::kLosesAnswers};
    return faults[random().Below(3)];
  }

  void FaultLog(LogFault fault) {
    const char* names[] = {"", "log outage", "log slow", "log loses answers"};
    world_.SetLog(fault);
    For(names[static_cast<int>(fault)], Span(200, 6000),
        [this] { world_.SetLog(LogFault::kNone); });
  }

  void LeaveAgent() {
    const std::size_t index = AnyAgent();
    const Process& process = world_.process(index);
    if (!process.alive || process.leaving_since) return;
    world_.Count("agent leaves");
    world_.Leave(index);
    AwaitIdle(index, process.generation);
  }

  void LeaveEntry() {
    const std::size_t index = AnyEntry();
    const Process& process = world_.process(index);
    if (!process.alive || process.leaving_since) return;
    world_.Count("entry leaves");
    world_.Leave(index);
    AwaitIdle(index, process.generation);
  }

  // A leaving process that has nothing to do any more is replaced; nobody may
  // be waiting for it then.
  void AwaitIdle(std::size_t index, std::uint64_t generation) {
    world_.At(Duration(100), [this, index, generation] {
      Process& process = world_.process(index);
      if (!process.alive || process.generation != generation) return;
      const bool left = process.leaving_since && !process.frozen;
      const bool idle = left && (process.entry ? process.entry->IsIdle()
                                               : process.agent->IsIdle());
      if (!idle) {
        AwaitIdle(index, generation);
        return;
      }
      InvariantMonitor::Global().Check(
          Invariant::kShutdownCutsNothing, !world_.HasCallersAt(index),
          "callers of entry " + std::to_string(index) + " were cut off");
      Restart(index, Span(50, 1000));
    });
  }

  void CancelWave() {
    world_.Count("cancel wave");
    world_.CancelAll();
  }

  void Burst() {
    bursting_ = true;
    For("burst", Span(500, 2000), [this] { bursting_ = false; });
  }

  // ---- the end

  void Heal() {
    world_.SetLog(LogFault::kNone);
    world_.message_faults() = MessageFaults{};
    for (std::size_t i = 0; i < world_.size(); ++i) {
      if (!world_.IsEntry(i)) world_.SetBackend(i, BackendFault::kNone);
      world_.process(i).cut_from_log = false;
      if (world_.process(i).frozen) world_.Thaw(i);
      for (std::size_t j = 0; j < i; ++j) world_.Heal(i, j);
    }
  }

  void CheckEnd() {
    InvariantMonitor& monitor = InvariantMonitor::Global();
    monitor.Check(Invariant::kAnswerCompleteOrFailed,
                  world_.judge().outstanding() == 0,
                  std::to_string(world_.judge().outstanding()) +
                      " callers were never answered");
    const std::string behind = world_.Behind();
    monitor.Check(Invariant::kConfigurationNeverReverts, behind.empty(),
                  "version " + std::to_string(world_.truth().version.value()) +
                      " is not in force everywhere:" + behind);
  }

  SoakOptions options_;
  World world_;
  TimePoint end_;
  std::uint64_t next_wish_ = 1;
  bool bursting_ = false;
};

}  // namespace

const std::vector<std::string>& PlannedFaults() {
  static const std::vector<std::string> faults = {
      "agent killed",       "agent frozen",
      "entry killed",       "entry frozen",
      "link cut",           "entry cut from the log",
      "message lost",       "message doubled",
      "message late",       "backend frozen",
      "backend fails",      "backend refuses",
      "backend straggles",  "call failed",
      "connection refused", "log outage",
      "log slow",           "log loses answers",
      "append answer lost", "append failed in an outage",
      "data centre out",    "data centre in",
      "operators race",     "new text",
      "agent leaves",       "entry leaves",
      "cancel wave",        "burst",
      "resubmission"};
  return faults;
}

SoakOptions OptionsFor(std::uint64_t seed) {
  SoakOptions options;
  options.seed = seed;
  options.rule =
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
    report.time_line = driver.world().TimeLine(kTimeLineEvents);
  }
  const Judge& judge = driver.world().judge();
  report.faults = driver.world().fault_counts();
  report.starts = judge.starts();
  report.complete = judge.complete();
  report.failed = judge.failed();
  report.refused = judge.refused();
  InvariantMonitor::Global().SetHandler(nullptr);
  return report;
}

}  // namespace geranium::soak
