#include "worker/agent_node.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace geranium {
namespace {

constexpr Duration kResultResendInterval{1000};
constexpr Duration kResultRetention{30'000};
constexpr Duration kProbeTimeout{500};

}  // namespace

AgentNode::AgentNode(AgentOptions options)
    : options_(std::move(options)),
      gate_(options_.profile.data_centre, options_.profile.id,
            options_.freshness_limit) {}

std::vector<AgentAction> AgentNode::TakeActions() {
  return std::exchange(actions_, {});
}

void AgentNode::Send(LinkId link, Message message) {
  actions_.push_back(SendMessage{link, std::move(message)});
}

void AgentNode::RecordEvent(EventKind kind, TimePoint now,
                            const Attempt* attempt, std::string detail) {
  Event event;
  event.at = now;
  event.kind = kind;
  event.detail = std::move(detail);
  if (attempt != nullptr) {
    if (attempt->offer.assignment) {
      event.job = attempt->offer.assignment->job;
    }
    event.attempt = attempt->offer.attempt;
    event.peer = ToString(attempt->offer.attempt.entry);
  }
  events_.Add(std::move(event));
}

Error AgentNode::MakeError(ErrorCode code, std::string step,
                           std::string message) const {
  return Error{code, std::move(step), options_.profile.id.value(),
               std::move(message), Execution::kNotRun};
}

// ---- links

void AgentNode::OnLinkUp(LinkId link, TimePoint now) {
  peers_[link] = Peer{};
  Hello hello;
  hello.role = ProcessRole::kAgent;
  hello.name = options_.profile.id.value();
  hello.incarnation = options_.incarnation;
  hello.http_address = options_.http_address;
  hello.worker = options_.profile;
  Send(link, hello);
  Heartbeat heartbeat;
  heartbeat.sent_at = now;
  heartbeat.version = gate_.configuration().version();
  heartbeat.load = Load(link, now);
  Send(link, heartbeat);
}

void AgentNode::OnLinkDown(LinkId link, TimePoint now) {
  const auto found = peers_.find(link);
  if (found == peers_.end()) return;
  const auto hello = found->second.hello;
  peers_.erase(found);
  if (!hello) return;
  const auto current = entry_links_.find(hello->incarnation);
  if (current == entry_links_.end() || current->second != link) return;
  entry_links_.erase(current);
  entry_lost_at_[hello->incarnation] = now;
  RecordEvent(EventKind::kLinkDown, now, nullptr, hello->name);
  std::vector<AttemptId> orphans;
  for (const auto& [id, attempt] : attempts_) {
    if (id.entry != hello->incarnation || attempt.offer.assignment) continue;
    if (attempt.state == State::kQueued) orphans.push_back(id);
  }
  for (const AttemptId& id : orphans) {
    DropUnstarted(
        id,
        MakeError(ErrorCode::kConnection, "offer", "link to the entry lost"),
        now);
  }
  DispatchQueued(now);
}

void AgentNode::OnMessage(LinkId link, const Message& message, TimePoint now) {
  if (!peers_.contains(link)) return;
  std::visit([&](const auto& typed) { On(link, typed, now); }, message);
}

void AgentNode::On(LinkId link, const Hello& hello, TimePoint now) {
  peers_[link].hello = hello;
  entry_links_[hello.incarnation] = link;
  entry_lost_at_.erase(hello.incarnation);
  RecordEvent(EventKind::kLinkUp, now, nullptr, hello.name);
  for (auto& [id, attempt] : attempts_) {
    if (id.entry != hello.incarnation) continue;
    if (attempt.state == State::kDone) SendResult(attempt, now);
  }
}

void AgentNode::On(LinkId /*link*/, const Members& members, TimePoint /*now*/) {
  for (const std::string& address : members.entry_addresses) {
    if (!known_entries_.insert(address).second) continue;
    actions_.push_back(ConnectEntry{address});
  }
}

// ---- configuration

void AgentNode::On(LinkId link, const Heartbeat& heartbeat, TimePoint now) {
  peers_[link].last_heartbeat_sent_at = heartbeat.sent_at;
  const Version own = gate_.configuration().version();
  if (heartbeat.version > own) Send(link, ConfigurationPull{own});
  if (!heartbeat.echo || !heartbeat.confirmed_age) return;
  gate_.Confirm(heartbeat.version, *heartbeat.echo - *heartbeat.confirmed_age);
  UpdateGate(now);
  DispatchQueued(now);
}

void AgentNode::On(LinkId link, const ConfigurationPull& pull,
                   TimePoint /*now*/) {
  const ConfigurationState& state = gate_.configuration().state();
  if (state.version > pull.have) Send(link, ConfigurationPush{state});
}

void AgentNode::On(LinkId /*link*/, const ConfigurationPush& push,
                   TimePoint now) {
  if (!gate_.Adopt(push.state)) return;
  RecordEvent(EventKind::kConfiguration, now, nullptr,
              "version " + std::to_string(push.state.version.value()));
  UpdateGate(now);
  DispatchQueued(now);
}

// Returns all unstarted attempts as soon as the gate closes, so that they move
// to another worker without waiting for a timeout.
void AgentNode::UpdateGate(TimePoint now) {
  const auto reason = gate_.ClosedReason(now);
  const bool open = !reason.has_value();
  if (open != gate_open_) {
    gate_open_ = open;
    RecordEvent(EventKind::kFreshness, now, nullptr,
                open ? "start gate open" : reason->message);
  }
  if (reason) DropAllUnstarted(*reason, now);
}

bool AgentNode::IsServing(TimePoint now) const {
  return !entry_links_.empty() && !leaving() && !gate_.ClosedReason(now);
}

// ---- results

void AgentNode::OnCallEnded(const AttemptId& id, const CallReport& report,
                            TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  Attempt& attempt = found->second;
  if (attempt.state != State::kRunning) return;
  --running_;
  in_use_ -= attempt.offer.size;
  run_times_.Add(now - attempt.started_at);
  const BackendHealth before = monitor_.health();
  monitor_.CallEnded(id, report.end, now);
  if (monitor_.health() != before) {
    RecordEvent(EventKind::kHealth, now, &attempt, report.message);
  }
  RecordEvent(EventKind::kCallEnded, now, &attempt, report.message);
  if (report.end == CallEnd::kNotConnected) {
    // Nothing was sent to the backend server, so the attempt did not start.
    attempt.state = State::kDone;
    history_.MarkDropped(id);
    DropUnstarted(
        id, MakeError(ErrorCode::kUnavailable, "connect", report.message), now);
  } else {
    Finish(attempt, report, now);
  }
  CheckBackend(now);
  DispatchQueued(now);
}

void AgentNode::Finish(Attempt& attempt, const CallReport& report,
                       TimePoint now) {
  TaskResult result;
  result.attempt = attempt.offer.attempt;
  result.job = attempt.offer.assignment->job;
  result.task = attempt.offer.assignment->task;
  result.run_time = now - attempt.started_at;
  result.unreachable = report.end == CallEnd::kNoAnswer;
  TaskOutcome& outcome = result.outcome;
  outcome.http_status = report.http_status;
  outcome.body = report.body;
  const bool succeeded = report.end == CallEnd::kAnswered &&
                         report.http_status >= 200 && report.http_status < 300;
  if (succeeded) {
    outcome.status = TaskStatus::kSucceeded;
  } else {
    const bool answered =
        report.end == CallEnd::kAnswered || report.end == CallEnd::kFailed;
    outcome.error = MakeError(
        answered ? ErrorCode::kBackendFailed : ErrorCode::kInDoubt, "call",
        answered ? "status " + std::to_string(report.http_status)
                 : report.message);
    outcome.error->execution =
        answered ? Execution::kRanFailed : Execution::kMayHaveRun;
    if (report.end == CallEnd::kAborted) {
      outcome.error->code = ErrorCode::kCancelled;
    }
  }
  attempt.state = State::kDone;
  attempt.result = std::move(result);
  ++counters_.results;
  SendResult(attempt, now);
}

void AgentNode::SendResult(Attempt& attempt, TimePoint now) {
  attempt.result_sent_at = now;
  SendToEntry(attempt.offer.attempt.entry, *attempt.result, now);
}

void AgentNode::On(LinkId /*link*/, const ResultAck& ack, TimePoint /*now*/) {
  const auto found = attempts_.find(ack.attempt);
  if (found == attempts_.end()) return;
  if (found->second.state == State::kDone) attempts_.erase(found);
}

void AgentNode::ResendResults(TimePoint now) {
  std::vector<AttemptId> abandoned;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kDone) continue;
    if (entry_links_.contains(id.entry)) {
      if (now - attempt.result_sent_at >= kResultResendInterval)
        SendResult(attempt, now);
      continue;
    }
    const auto lost = entry_lost_at_.find(id.entry);
    const bool gone =
        lost == entry_lost_at_.end() || now - lost->second > kResultRetention;
    if (gone) abandoned.push_back(id);
  }
  for (const AttemptId& id : abandoned) attempts_.erase(id);
}

// ---- time

void AgentNode::OnTick(TimePoint now) {
  SendHeartbeats(now);
  UpdateGate(now);
  ExpireReservations(now);
  ExpireQueued(now);
  CheckBackend(now);
  ResendResults(now);
  history_.EvictOld(
      now, [this](const AttemptId& id) { return attempts_.contains(id); });
  DispatchQueued(now);
}

void AgentNode::SendHeartbeats(TimePoint now) {
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + options_.heartbeat;
  for (const auto& [link, peer] : peers_) {
    Heartbeat heartbeat;
    heartbeat.sent_at = now;
    heartbeat.echo = peer.last_heartbeat_sent_at;
    heartbeat.version = gate_.configuration().version();
    heartbeat.confirmed_age = gate_.Age(now);
    heartbeat.load = Load(link, now);
    Send(link, heartbeat);
  }
}

void AgentNode::ExpireReservations(TimePoint now) {
  if (reserved_slots_ == 0) return;
  std::vector<AttemptId> expired;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kReady) continue;
    if (now - attempt.ready_at > options_.grant_ttl) expired.push_back(id);
  }
  for (const AttemptId& id : expired) {
    DropUnstarted(id,
                  MakeError(ErrorCode::kUnavailable, "ready",
                            "no grant received within the grant TTL"),
                  now);
  }
}

void AgentNode::ExpireQueued(TimePoint now) {
  if (queue_.size() == 0) return;
  std::vector<AttemptId> expired;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued && attempt.deadline < now) {
      expired.push_back(id);
    }
  }
  for (const AttemptId& id : expired) {
    DropUnstarted(id,
                  MakeError(ErrorCode::kDeadline, "queue",
                            "deadline passed while queued"),
                  now);
  }
}

void AgentNode::CheckBackend(TimePoint now) {
  if (monitor_.CheckOverdueCalls(now)) {
    RecordEvent(EventKind::kHealth, now, nullptr,
                "the backend server does not respond");
  }
  if (monitor_.health() == BackendHealth::kUnresponsive) {
    DropAllUnstarted(MakeError(ErrorCode::kUnavailable, "queue",
                               "the backend server does not respond"),
                     now);
  }
  if (!monitor_.BeginProbeIfDue(now)) return;
  const auto& services = options_.profile.services;
  const ServiceSpec* spec =
      services.empty() ? nullptr
                       : gate_.configuration().FindService(services.front());
  actions_.push_back(
      ProbeBackend{spec == nullptr ? "/" : spec->path, kProbeTimeout});
}

void AgentNode::OnProbeEnded(bool answered, TimePoint now) {
  monitor_.ProbeEnded(answered, now);
  if (answered)
    RecordEvent(EventKind::kHealth, now, nullptr, "health probe answered");
  DispatchQueued(now);
}

// ---- leaving

void AgentNode::Leave(TimePoint now) {
  if (leaving()) return;
  leaving_since_ = now;
  RecordEvent(EventKind::kLeaving, now, nullptr, "");
  DropAllUnstarted(
      MakeError(ErrorCode::kUnavailable, "queue", "the worker is draining"),
      now);
  for (const auto& [link, peer] : peers_) {
    Send(link, Leaving{Load(link, now)});
  }
}

void AgentNode::On(LinkId /*link*/, const Drain& drain, TimePoint now) {
  if (drain.worker == options_.profile.id) Leave(now);
}

WorkerLoad AgentNode::Load(std::optional<LinkId> link, TimePoint now) const {
  WorkerLoad load;
  load.urgent_free_slots = FreeSlots();
  load.free_slots = std::max(0, FreeSlots() - UrgentReserve(now));
  if (link) {
    const auto peer = peers_.find(*link);
    if (peer != peers_.end()) load.offers_seen = peer->second.offers_seen;
  }
  load.running = running_ + reserved_slots_;
  load.queued = static_cast<int>(queue_.size());
  load.health = monitor_.health();
  load.leaving = leaving();
  return load;
}

}  // namespace geranium
