#ifndef GERANIUM_TESTS_SOAK_SIMULATOR_H_
#define GERANIUM_TESTS_SOAK_SIMULATOR_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "entry/entry_node.h"
#include "log_store.h"
#include "soak/invariant_checker.h"
#include "worker/agent_node.h"

namespace geranium::soak {

enum class BackendFault { kNone, kFrozen, kFails, kRefuses, kStraggles };

enum class LogFault { kNone, kOutage, kSlow, kLosesAnswers };

/// Probabilities of each fault, per message.
struct MessageFaults {
  double lost = 0;
  double duplicated = 0;
  double delayed = 0;
};

/// A simulated process; its index is its address. A restart puts a new node at
/// the same index.
struct Process {
  bool alive = false;
  bool frozen = false;
  std::uint64_t generation = 0;
  TimePoint started_at;  ///< True time.
  Duration clock_offset;
  std::unique_ptr<EntryNode> entry;
  std::unique_ptr<AgentNode> agent;
  std::deque<std::function<void()>> inbox;  ///< Held while frozen.
  std::map<std::size_t, LinkId> links;      ///< By the peer's index.
  std::map<LinkId, std::size_t> peers;
  BackendFault backend = BackendFault::kNone;
  DataCentreName data_centre;
  std::optional<TimePoint> leaving_since;  ///< True time.
  bool log_unreachable = false;
  Version newest_version;
};

struct SimulatorOptions {
  std::uint64_t seed = 1;
  std::size_t entries = 2;
  std::size_t agents = 6;
  int slots = 3;
  LogOutageRule log_outage_rule = LogOutageRule::kMajority;
  PolicyChoice policy;
  Duration log_retention{20'000};
};

/// A discrete-event simulator of entries, agents, backend servers, the log and
/// callers around the real scheduling logic. Each process has a clock with an
/// offset of its own from the true time.
class Simulator {
 public:
  explicit Simulator(SimulatorOptions options);

  // Time.
  TimePoint now() const { return now_; }
  void Schedule(Duration after, std::function<void()> callback);
  void RunUntil(TimePoint end);

  // Processes.
  std::size_t size() const { return processes_.size(); }
  bool IsEntry(std::size_t index) const { return index < options_.entries; }
  Process& process(std::size_t index) { return *processes_[index]; }
  void Kill(std::size_t index);
  void Start(std::size_t index);
  void Freeze(std::size_t index);
  void Thaw(std::size_t index);
  void Leave(std::size_t index);
  void Partition(std::size_t a, std::size_t b);
  void Heal(std::size_t a, std::size_t b);
  void SetBackendFault(std::size_t agent, BackendFault fault);
  /// Runs `callback` on the process, now or once it is thawed.
  void Deliver(std::size_t index,
               std::function<void(Process&, TimePoint)> callback);

  // The log and operators.
  void SetLogFault(LogFault fault) { log_fault_ = fault; }
  LogFault log_fault() const { return log_fault_; }
  /// Appends like an operator; may also send the record to the entries.
  void AppendConfiguration(const ConfigurationRecord& record,
                           bool push_to_entries);
  /// The configuration that results from the whole log.
  const ConfigurationState& reference_state() const {
    return reference_.state();
  }
  /// Describes the processes, apart from those just started, whose
  /// configuration is older than the log's.
  std::string StaleProcesses() const;

  // Callers.
  void Submit(std::uint64_t operation, std::size_t entry);
  void CancelAll();
  /// Whether a caller waits at the entry.
  bool HasCallersAt(std::size_t entry) const;

  MessageFaults& message_faults() { return message_faults_; }
  InvariantChecker& checker() { return checker_; }
  Random& random() { return random_; }
  const SimulatorOptions& options() const { return options_; }
  void CountFault(const std::string& fault) { ++fault_counts_[fault]; }
  const std::map<std::string, std::uint64_t>& fault_counts() const {
    return fault_counts_;
  }
  /// The newest events of all processes in order of true time.
  std::string Timeline(std::size_t max_events) const;

 private:
  struct ScheduledEvent {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> callback;
    bool operator>(const ScheduledEvent& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Call {
    std::size_t agent = 0;
    std::uint64_t generation = 0;
    StartCall action;
    bool ended = false;
  };
  struct WaitingCaller {
    std::uint64_t operation = 0;
    std::size_t entry = 0;
    std::uint64_t generation = 0;
  };

  TimePoint LocalTime(const Process& process) const {
    return now_ + process.clock_offset;
  }
  EntryOptions EntryOptionsFor(std::size_t index);
  AgentOptions AgentOptionsFor(std::size_t index);
  void Tick(std::size_t index, std::uint64_t generation);
  void Connect();
  void Link(std::size_t a, std::size_t b);
  void Unlink(std::size_t a, std::size_t b);
  void LinkUp(std::size_t index, std::size_t peer);
  void LinkDown(std::size_t index, std::size_t peer);
  void ExecuteActions(std::size_t index);
  void Execute(std::size_t index, const SendMessage& action);
  void Execute(std::size_t index, const ConnectEntry& action);
  void Execute(std::size_t index, const ReplyCaller& action);
  void Execute(std::size_t index, const AppendRecord& action);
  void Execute(std::size_t index, const StartCall& action);
  void Execute(std::size_t index, const AbortCall& action);
  void Execute(std::size_t index, const ProbeBackend& action);
  void Transmit(std::size_t from, std::size_t to, LinkId link,
                const Message& message, Duration delay);
  void ReadLog(std::size_t index, std::uint64_t generation, LogStream stream);
  Duration LogDelay();
  LogOffset AppendToLog(LogStream stream, const RecordId& id,
                        const std::string& body);
  void UpdateReferenceState();
  void UpdateCheckedDataCentres();
  void EndCall(const std::shared_ptr<Call>& call, const CallReport& report);
  void RunCall(const std::shared_ptr<Call>& call);
  void AbandonCallers(std::size_t entry);
  void CollectEvents(std::size_t index);
  void RecordDriverEvent(const std::string& message);

  SimulatorOptions options_;
  Random random_;
  TimePoint now_{1'000'000};
  std::uint64_t next_order_ = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>,
                      std::greater<>>
      scheduled_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::uint64_t next_link_ = 1;
  std::set<std::pair<std::size_t, std::size_t>> partitions_;
  MessageFaults message_faults_;
  LogFault log_fault_ = LogFault::kNone;
  std::array<LogStore, kLogStreamCount> log_;
  ConfigurationReader reference_;
  std::map<DataCentreName, DataCentreState> checked_data_centres_;
  InvariantChecker checker_;
  std::map<CallerHandle, WaitingCaller> waiting_callers_;
  std::set<CallerHandle> disconnected_callers_;
  std::uint64_t next_caller_ = 1;
  std::map<AttemptId, std::shared_ptr<Call>> calls_;
  std::map<std::string, std::uint64_t> fault_counts_;
  std::vector<std::pair<TimePoint, std::string>> collected_events_;
};

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_SIMULATOR_H_
