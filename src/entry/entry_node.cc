#include "entry/entry_node.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

constexpr std::size_t kMaxDecisions = 256;
constexpr Duration kSnapshotRetryDelay{5000};

KeyTableOptions KeyOptions(const EntryOptions& options) {
  KeyTableOptions keys;
  keys.incarnation = options.incarnation;
  keys.window = options.key_window;
  keys.freshness = options.freshness_limit;
  return keys;
}

DispatcherOptions DispatchOptions(const EntryOptions& options) {
  DispatcherOptions dispatcher = options.dispatcher;
  dispatcher.incarnation = options.incarnation;
  dispatcher.name = options.id.value();
  return dispatcher;
}

}  // namespace

EntryNode::EntryNode(EntryOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      freshness_(options_.log_outage, options_.freshness_limit),
      dispatcher_(DispatchOptions(options_), configuration_, random_, events_),
      keys_(KeyOptions(options_), random_) {}

std::vector<EntryAction> EntryNode::TakeActions() {
  return std::exchange(actions_, {});
}

void EntryNode::Send(LinkId link, Message message) {
  actions_.push_back(SendMessage{link, std::move(message)});
}

void EntryNode::RecordEvent(EventKind kind, TimePoint now,
                            const std::string& peer, std::string detail) {
  Event event;
  event.at = now;
  event.kind = kind;
  event.peer = peer;
  event.detail = std::move(detail);
  events_.Add(std::move(event));
}

// Every input is handled between BeginInput and EndInput, so that no decision
// relies on a freshness check older than `now`.
void EntryNode::BeginInput(TimePoint now) {
  input_time_ = now;
  const bool fresh = freshness_.IsFresh(now);
  dispatcher_.SetConfigurationFresh(fresh);
  if (fresh == was_fresh_) return;
  was_fresh_ = fresh;
  RecordEvent(EventKind::kFreshness, now, "",
              fresh ? "confirmed" : "not confirmed");
}

void EntryNode::EndInput(TimePoint now) {
  ResolveClaims(now);
  for (DispatchAction& action : dispatcher_.TakeActions()) {
    if (auto* answer = std::get_if<AnswerJob>(&action)) {
      DeliverAnswer(answer->answer, now);
    } else {
      actions_.push_back(std::get<SendMessage>(std::move(action)));
    }
  }
  if (auto append = keys_.NextAppend(now)) {
    actions_.push_back(std::move(*append));
  }
}

// ---- links

void EntryNode::OnLinkUp(LinkId link, TimePoint now) {
  peers_[link] = Peer{};
  Hello hello;
  hello.role = ProcessRole::kEntry;
  hello.name = options_.id.value();
  hello.incarnation = options_.incarnation;
  hello.link_address = options_.link_address;
  hello.http_address = options_.http_address;
  Send(link, hello);
  const ConfigurationState& state = configuration_.state();
  if (state.version > Version(0)) Send(link, ConfigurationPush{state});
  Heartbeat heartbeat;
  heartbeat.sent_at = now;
  heartbeat.version = state.version;
  heartbeat.confirmed_age = freshness_.Age(now);
  Send(link, heartbeat);
}

void EntryNode::OnLinkDown(LinkId link, TimePoint now) {
  const auto found = peers_.find(link);
  if (found == peers_.end()) return;
  BeginInput(now);
  const auto hello = found->second.hello;
  peers_.erase(found);
  if (hello) RecordEvent(EventKind::kLinkDown, now, hello->name, "");
  dispatcher_.OnWorkerDown(link, now);
  FailQueriesTo(link, now);
  for (auto& [job, waiters] : remote_waiters_) {
    std::erase_if(waiters,
                  [&](const RemoteWaiter& w) { return w.link == link; });
  }
  UpdateEntryCount();
  EndInput(now);
}

void EntryNode::OnMessage(LinkId link, const Message& message, TimePoint now) {
  if (!peers_.contains(link)) return;
  BeginInput(now);
  std::visit([&](const auto& typed) { On(link, typed, now); }, message);
  EndInput(now);
}

void EntryNode::On(LinkId link, const Hello& hello, TimePoint now) {
  peers_[link].hello = hello;
  RecordEvent(EventKind::kLinkUp, now, hello.name, "");
  freshness_.AddPeer(hello.name, now);
  if (hello.role == ProcessRole::kAgent && hello.worker) {
    dispatcher_.OnWorkerUp(link, hello, now);
    const std::set<std::string> addresses = EntryAddresses();
    Send(link, Members{{addresses.begin(), addresses.end()}});
    return;
  }
  UpdateEntryCount();
  SendMembers();
}

std::set<std::string> EntryNode::EntryAddresses() const {
  std::set<std::string> addresses{options_.link_address};
  for (const auto& [link, peer] : peers_) {
    const bool is_entry = peer.hello && peer.hello->role == ProcessRole::kEntry;
    if (is_entry) addresses.insert(peer.hello->link_address);
  }
  return addresses;
}

void EntryNode::SendMembers() {
  const std::set<std::string> addresses = EntryAddresses();
  const Members members{{addresses.begin(), addresses.end()}};
  for (const auto& [link, peer] : peers_) {
    if (peer.hello) Send(link, members);
  }
}

// The entry with the lower address dials, so that two entries that discover
// each other at the same time open only one link.
void EntryNode::On(LinkId /*link*/, const Members& members, TimePoint /*now*/) {
  const std::set<std::string> known = EntryAddresses();
  for (const std::string& address : members.entry_addresses) {
    if (known.contains(address) || address < options_.link_address) continue;
    if (!dialled_addresses_.insert(address).second) continue;
    actions_.push_back(ConnectEntry{address});
  }
}

void EntryNode::UpdateEntryCount() {
  std::set<Incarnation> entries{options_.incarnation};
  for (const auto& [link, peer] : peers_) {
    if (!peer.hello || peer.hello->role != ProcessRole::kEntry) continue;
    entries.insert(peer.hello->incarnation);
  }
  dispatcher_.SetEntryCount(entries.size());
}

std::optional<LinkId> EntryNode::FindLinkTo(Incarnation entry) const {
  for (const auto& [link, peer] : peers_) {
    if (peer.hello && peer.hello->incarnation == entry) return link;
  }
  return std::nullopt;
}

void EntryNode::SendHeartbeats(TimePoint now) {
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + options_.heartbeat;
  const std::optional<Duration> age = freshness_.Age(now);
  for (const auto& [link, peer] : peers_) {
    Heartbeat heartbeat;
    heartbeat.sent_at = now;
    heartbeat.echo = peer.newest_sent_at;
    heartbeat.version = configuration_.version();
    heartbeat.confirmed_age = age;
    Send(link, heartbeat);
  }
}

void EntryNode::On(LinkId link, const Heartbeat& heartbeat, TimePoint now) {
  Peer& peer = peers_[link];
  peer.newest_sent_at = heartbeat.sent_at;
  peer.version = heartbeat.version;
  const Duration offset(heartbeat.sent_at.ms() - now.ms());
  peer.clock_offset = std::max(peer.clock_offset.value_or(offset), offset);
  if (heartbeat.version > configuration_.version()) {
    Send(link, ConfigurationPull{configuration_.version()});
  } else if (heartbeat.echo && peer.hello) {
    freshness_.RecordPeerConfirmation(peer.hello->name, *heartbeat.echo);
    if (heartbeat.confirmed_age) {
      freshness_.Confirm(*heartbeat.echo - *heartbeat.confirmed_age);
    }
    BeginInput(now);
  }
  dispatcher_.OnHeartbeat(link, heartbeat, now);
}

void EntryNode::On(LinkId link, const Leaving& leaving, TimePoint now) {
  const Peer& peer = peers_[link];
  if (peer.hello) freshness_.RemovePeer(peer.hello->name);
  if (peer.hello && peer.hello->role == ProcessRole::kAgent) {
    dispatcher_.On(link, leaving, now);
  }
}

void EntryNode::On(LinkId link, const OfferAck& ack, TimePoint now) {
  dispatcher_.On(link, ack, now);
}

void EntryNode::On(LinkId link, const Ready& ready, TimePoint now) {
  dispatcher_.On(link, ready, now);
}

void EntryNode::On(LinkId link, const NotStarted& not_started, TimePoint now) {
  dispatcher_.On(link, not_started, now);
}

void EntryNode::On(LinkId link, const TaskResult& result, TimePoint now) {
  dispatcher_.On(link, result, now);
}

// ---- configuration

void EntryNode::On(LinkId link, const ConfigurationPull& pull,
                   TimePoint /*now*/) {
  const ConfigurationState& state = configuration_.state();
  if (state.version > pull.have) Send(link, ConfigurationPush{state});
}

void EntryNode::On(LinkId /*link*/, const ConfigurationPush& push,
                   TimePoint now) {
  AdoptConfiguration(push.state, now);
}

void EntryNode::AdoptConfiguration(const ConfigurationState& state,
                                   TimePoint now) {
  if (!configuration_.Adopt(state)) return;
  RecordEvent(EventKind::kConfiguration, now, "",
              "version " + std::to_string(state.version.value()));
  for (const auto& [link, peer] : peers_) {
    if (peer.hello && peer.version < state.version) {
      Send(link, ConfigurationPush{state});
    }
  }
  dispatcher_.OnConfiguration(now);
}

LogOffset EntryNode::LogPosition(LogStream stream) const {
  return stream == LogStream::kClaims ? keys_.position() : reader_.position();
}

void EntryNode::OnLogRead(LogStream stream, const LogBatch& batch,
                          TimePoint sent_at, TimePoint now) {
  if (stream == LogStream::kClaims) {
    BeginInput(now);
    keys_.Read(batch, sent_at, now);
    EndInput(now);
    return;
  }
  KeepDecisions(reader_.Read(batch, now));
  KeepDecisions(reader_.StartFromState(configuration_.state()));
  if (reader_.at_tail()) freshness_.Confirm(sent_at);
  BeginInput(now);
  if (reader_.has_state()) AdoptConfiguration(reader_.state(), now);
  AppendSnapshotIfDue(now);
  EndInput(now);
}

void EntryNode::KeepDecisions(std::vector<Decision> decisions) {
  for (Decision& decision : decisions) {
    decisions_.push_back(std::move(decision));
    if (decisions_.size() > kMaxDecisions) decisions_.pop_front();
  }
}

// Due once the base is older than half of the retention. Entries jitter their
// retries, so that mostly one appends and the others read its snapshot.
void EntryNode::AppendSnapshotIfDue(TimePoint now) {
  const auto rests_on = reader_.base_appended_at();
  if (!reader_.at_tail() || !rests_on || now < next_snapshot_) return;
  const Duration age = now - *rests_on;
  if (age < options_.log_retention / 2) return;
  next_snapshot_ = now + random_.Jitter(kSnapshotRetryDelay);
  const LogOffset as_of = reader_.position();
  AppendRecord append;
  append.stream = LogStream::kConfiguration;
  append.id = RecordId("snapshot-" + std::to_string(as_of.value()) + "-" +
                       ToString(options_.incarnation));
  append.body = EncodeRecord(SnapshotRecord{reader_.state(), as_of});
  actions_.push_back(std::move(append));
}

void EntryNode::OnAppendEnded(LogStream stream, const RecordId& id,
                              bool applied, TimePoint now) {
  if (stream != LogStream::kClaims) return;
  BeginInput(now);
  keys_.OnAppendEnded(id, applied, now);
  EndInput(now);
}

// ---- time and operators

void EntryNode::OnTick(TimePoint now) {
  BeginInput(now);
  SendHeartbeats(now);
  keys_.OnTick(now);
  answers_.Expire(now);
  ExpireQueries(now);
  while (!key_expiry_.empty() && key_expiry_.begin()->first <= now) {
    job_by_key_.erase(key_expiry_.begin()->second);
    key_expiry_.erase(key_expiry_.begin());
  }
  dispatcher_.OnTick(now);
  EndInput(now);
}

bool EntryNode::DrainWorker(const WorkerId& worker, TimePoint /*now*/) {
  const WorkerView* view = dispatcher_.workers().Find(worker);
  if (view == nullptr || !view->link) return false;
  Send(*view->link, Drain{worker});
  return true;
}

void EntryNode::Leave(TimePoint now) {
  if (leaving_) return;
  leaving_ = true;
  RecordEvent(EventKind::kLeaving, now, "", "");
  for (const auto& [link, peer] : peers_) {
    const bool is_entry = peer.hello && peer.hello->role == ProcessRole::kEntry;
    if (is_entry) Send(link, Leaving{});
  }
}

}  // namespace geranium
