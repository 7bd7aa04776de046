#ifndef GERANIUM_ENTRY_ENTRY_NODE_H_
#define GERANIUM_ENTRY_ENTRY_NODE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/events.h"
#include "base/ids.h"
#include "base/random.h"
#include "contract/log.h"
#include "contract/task.h"
#include "data_centre/configuration.h"
#include "data_centre/freshness.h"
#include "entry/actions.h"
#include "entry/answer_store.h"
#include "entry/dispatcher.h"
#include "entry/key_table.h"
#include "link/messages.h"

namespace geranium {

/// An entry's settings.
struct EntryOptions {
  EntryId id;
  Incarnation incarnation;
  std::string link_address;
  std::string http_address;
  std::uint64_t seed = 1;
  Duration heartbeat{250};
  Duration freshness_limit = Freshness::kDefaultLimit;
  LogOutageRule log_outage = LogOutageRule::kMajority;
  Duration key_window{600'000};
  Duration log_retention{3'600'000};
  DispatcherOptions dispatcher;
};

/// State of a job, looked up by its id.
struct JobReport {
  enum class State { kUnknown, kRunning, kAnswered };
  State state = State::kUnknown;
  std::optional<JobAnswer> answer;
};

/// The logic of an entry: admits submissions, resolves idempotency keys,
/// dispatches tasks and follows the configuration. Uses no sockets, threads
/// or clock.
class EntryNode {
 public:
  /// How long the answer of a job without a key is kept.
  static constexpr Duration kKeylessAnswerRetention{60'000};

  /// A process on a link.
  struct Peer {
    std::optional<Hello> hello;
    std::optional<TimePoint> newest_sent_at;
    Version version;
    /// Largest seen difference of the peer's clock and ours; too small by the
    /// shortest transit time of a message from the peer.
    std::optional<Duration> clock_offset;
  };

  /// A decided record of the configuration stream.
  using Decision = ConfigurationReader::Decision;

  explicit EntryNode(EntryOptions options);

  // Callers.

  void OnSubmission(CallerHandle caller, Submission submission, TimePoint now);
  /// The caller disconnected; its job, if keyless and unshared, is cancelled.
  void OnCallerGone(CallerHandle caller, TimePoint now);
  void CancelJob(const JobId& job, TimePoint now);
  JobReport Report(const JobId& job) const;
  /// Makes a key whose claims this entry decides itself, without the log.
  IdempotencyKey MintKey();

  // Links.

  void OnLinkUp(LinkId link, TimePoint now);
  void OnLinkDown(LinkId link, TimePoint now);
  void OnMessage(LinkId link, const Message& message, TimePoint now);

  // The log.

  LogOffset LogPosition(LogStream stream) const;
  /// Takes a batch read from `LogPosition` on; the request left at `sent_at`.
  void OnLogRead(LogStream stream, const LogBatch& batch, TimePoint sent_at,
                 TimePoint now);
  void OnAppendEnded(LogStream stream, const RecordId& id, bool applied,
                     TimePoint now);

  void OnTick(TimePoint now);

  // Operators.

  /// Asks the worker's agent to drain; false if it has no link to this entry.
  bool DrainWorker(const WorkerId& worker, TimePoint now);
  /// Starts a graceful shutdown: admits nothing more, finishes admitted jobs.
  void Leave(TimePoint now);
  bool leaving() const { return leaving_; }
  bool IsIdle() const {
    return dispatcher_.open_jobs() == 0 && queries_.empty();
  }
  /// True if submissions are considered for admission now.
  bool IsReady(TimePoint now) const { return !leaving_ && IsFresh(now); }

  std::vector<EntryAction> TakeActions();

  bool IsFresh(TimePoint now) const { return freshness_.IsFresh(now); }
  std::optional<Duration> FreshnessAge(TimePoint now) const {
    return freshness_.Age(now);
  }
  const Configuration& configuration() const { return configuration_; }
  const std::deque<Decision>& decisions() const { return decisions_; }
  const Dispatcher& dispatcher() const { return dispatcher_; }
  const KeyTable& keys() const { return keys_; }
  const EventRing& events() const { return events_; }
  const EntryOptions& options() const { return options_; }
  const std::map<LinkId, Peer>& peers() const { return peers_; }

 private:
  struct RemoteWaiter {
    LinkId link;
    std::uint64_t query = 0;
  };
  struct PendingQuery {
    std::vector<CallerHandle> callers;  ///< Wait for the holder's answer.
    std::optional<JobId> claiming;      ///< Local job, for a minted key.
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;
    TimePoint until;
    LinkId link;
  };

  // Links (entry_node.cc).
  void On(LinkId link, const Hello& hello, TimePoint now);
  void On(LinkId link, const Members& members, TimePoint now);
  void On(LinkId link, const Heartbeat& heartbeat, TimePoint now);
  void On(LinkId link, const ConfigurationPull& pull, TimePoint now);
  void On(LinkId link, const ConfigurationPush& push, TimePoint now);
  void On(LinkId link, const Leaving& leaving, TimePoint now);
  void On(LinkId link, const KeyQuery& query, TimePoint now);
  void On(LinkId link, const KeyReply& reply, TimePoint now);
  void On(LinkId link, const OfferAck& ack, TimePoint now);
  void On(LinkId link, const Ready& ready, TimePoint now);
  void On(LinkId link, const NotStarted& not_started, TimePoint now);
  void On(LinkId link, const TaskResult& result, TimePoint now);
  template <class Other>
  void On(LinkId /*link*/, const Other& /*other*/, TimePoint /*now*/) {}

  void BeginInput(TimePoint now);
  void EndInput(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void SendMembers();
  std::set<std::string> EntryAddresses() const;
  void UpdateEntryCount();
  void AdoptConfiguration(const ConfigurationState& state, TimePoint now);
  void KeepDecisions(std::vector<Decision> decisions);
  void AppendSnapshotIfDue(TimePoint now);
  std::optional<LinkId> FindLinkTo(Incarnation entry) const;
  void Send(LinkId link, Message message);
  void RecordEvent(EventKind kind, TimePoint now, const std::string& peer,
                   std::string detail);

  // Submissions and keys (entry_submissions.cc).
  void SubmitWithoutKey(CallerHandle caller, Submission submission,
                        TimePoint now);
  void SubmitWithCallerKey(CallerHandle caller, Submission submission,
                           TimePoint now);
  void SubmitWithMintedKey(CallerHandle caller, Submission submission,
                           Incarnation minter, TimePoint now);
  void StartKeyed(CallerHandle caller, Submission submission, bool claimed,
                  TimePoint now);
  void AttachToHolder(std::vector<CallerHandle> callers,
                      std::uint64_t fingerprint, const KeyClaim& holder,
                      TimePoint now);
  void AttachToLocalJob(const std::vector<CallerHandle>& callers,
                        const JobId& job);
  void QueryHolder(std::vector<CallerHandle> callers, const KeyClaim& holder,
                   LinkId link, TimePoint now);
  void QueryMinter(CallerHandle caller, Submission submission, LinkId link,
                   TimePoint now);
  const JobId* FindLocalJob(const IdempotencyKey& key) const;
  void ResolveClaims(TimePoint now);
  void ResolveClaim(const KeyTable::Decision& decision, TimePoint now);
  void ResolveMintedKey(PendingQuery pending, const KeyReply& reply,
                        TimePoint now);
  void FailQuery(const PendingQuery& pending, const std::string& why,
                 TimePoint now);
  void ExpireQueries(TimePoint now);
  void FailQueriesTo(LinkId link, TimePoint now);
  void DeliverAnswer(const JobAnswer& answer, TimePoint now);
  void Refuse(const std::vector<CallerHandle>& callers, const Error& error);
  void RefuseKeyed(CallerHandle caller, const IdempotencyKey& key,
                   std::uint64_t fingerprint, Error error, TimePoint now);
  Error MakeError(ErrorCode code, std::string step, std::string peer,
                  std::string message, Execution execution) const;

  EntryOptions options_;
  Random random_;
  EventRing events_;
  ConfigurationReader reader_;
  Configuration configuration_;
  Freshness freshness_;
  Dispatcher dispatcher_;
  KeyTable keys_;
  AnswerStore answers_;
  std::map<LinkId, Peer> peers_;
  std::set<std::string> dialled_addresses_;
  std::deque<Decision> decisions_;
  std::unordered_map<JobId, std::vector<CallerHandle>> callers_by_job_;
  std::unordered_map<CallerHandle, JobId> job_by_caller_;
  std::unordered_map<JobId, std::vector<RemoteWaiter>> remote_waiters_;
  std::unordered_map<JobId, IdempotencyKey> key_by_job_;
  std::unordered_map<IdempotencyKey, JobId> job_by_key_;
  std::multimap<TimePoint, IdempotencyKey> key_expiry_;
  std::map<std::uint64_t, PendingQuery> queries_;
  std::uint64_t next_query_ = 1;
  TimePoint next_heartbeat_;
  TimePoint next_snapshot_;
  bool leaving_ = false;
  bool was_fresh_ = false;
  TimePoint input_time_;
  std::vector<EntryAction> actions_;
};

/// The incarnation that minted the key; none for a caller's own key.
std::optional<Incarnation> MinterOf(const IdempotencyKey& key);

}  // namespace geranium

#endif  // GERANIUM_ENTRY_ENTRY_NODE_H_
