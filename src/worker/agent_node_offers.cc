#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "worker/agent_node.h"

namespace geranium {
namespace {

constexpr Duration kUrgentReservePeriod{10'000};
constexpr Duration kLeavingGracePeriod{3000};
constexpr int kMinSlotsForReserve = 4;

}  // namespace

// Returns true if the attempt needs no further handling. A decision is final: a
// repeated message for a started attempt is ignored, and for a dropped one the
// entry is notified again. Attempts older than the history are ignored.
bool AgentNode::HandleDecided(const AttemptId& id, TimePoint now) {
  const auto decision = history_.Find(id);
  if (decision == AttemptDecision::kDropped) {
    SendNotStarted(id,
                   MakeError(ErrorCode::kUnavailable, "offer",
                             "the attempt was already dropped"),
                   now);
    return true;
  }
  return decision.has_value() || history_.MayBeEvicted(id);
}

std::optional<Error> AgentNode::RefusalReason(const Offer& offer,
                                              TimePoint now) const {
  if (leaving()) {
    return MakeError(ErrorCode::kUnavailable, "offer",
                     "the worker is draining");
  }
  if (monitor_.health() == BackendHealth::kUnresponsive) {
    return MakeError(ErrorCode::kUnavailable, "offer",
                     "the backend server does not respond");
  }
  if (auto closed = gate_.ClosedReason(now)) return closed;
  if (gate_.configuration().FindService(offer.service) == nullptr) {
    return MakeError(ErrorCode::kUnknownService, "offer",
                     "service " + offer.service.value() +
                         " is not in the current configuration");
  }
  if (static_cast<int>(queue_.size()) >= options_.queue_limit) {
    return MakeError(ErrorCode::kOverloaded, "offer",
                     "the offer queue is full");
  }
  if (!options_.profile.capacity.CanFit(offer.size)) {
    return MakeError(ErrorCode::kFitsNoWorker, "offer",
                     "the task exceeds the worker's capacity");
  }
  return std::nullopt;
}

void AgentNode::On(LinkId link, const Offer& offer, TimePoint now) {
  ++counters_.offers;
  ++peers_[link].offers_seen;
  if (attempts_.contains(offer.attempt) || HandleDecided(offer.attempt, now)) {
    ++counters_.duplicates;
    return;
  }
  if (auto reason = RefusalReason(offer, now)) {
    history_.Record(offer.attempt, AttemptDecision::kDropped, now);
    SendNotStarted(offer.attempt, *reason, now);
    return;
  }
  Attempt& attempt = attempts_[offer.attempt];
  attempt.offer = offer;
  attempt.deadline = now + offer.time_left;
  queue_.Add(offer.attempt, offer.task_class, attempt.deadline);
  if (offer.task_class == TaskClass::kUrgent) last_urgent_at_ = now;
  RecordEvent(EventKind::kOfferReceived, now, &attempt, "");
  DispatchQueued(now);
  if (attempt.state == State::kQueued) Acknowledge(attempt, now);
}

void AgentNode::Acknowledge(const Attempt& attempt, TimePoint now) {
  SendToEntry(attempt.offer.attempt.entry,
              OfferAck{attempt.offer.attempt, ExpectedWait(), {}}, now);
}

Duration AgentNode::ExpectedWait() const {
  const Duration usual = run_times_.P99(Duration(100)) / 2;
  const auto ahead = static_cast<std::int64_t>(queue_.size());
  return usual * ahead / std::max(1, options_.profile.slots);
}

int AgentNode::FreeSlots() const {
  const int allowed = monitor_.MaxConcurrentCalls(options_.profile.slots);
  return std::max(0, allowed - reserved_slots_ - running_);
}

// While urgent work arrives, the last slots are reserved for it: waiting for a
// slot to free up on a single worker takes longer than urgent work can wait.
bool AgentNode::OnlyUrgentSlotsFree(TimePoint now) const {
  return FreeSlots() <= UrgentReserve(now);
}

int AgentNode::UrgentReserve(TimePoint now) const {
  if (options_.profile.slots < kMinSlotsForReserve) return 0;
  if (now - last_urgent_at_ > kUrgentReservePeriod) return 0;
  return options_.urgent_reserve;
}

void AgentNode::DispatchQueued(TimePoint now) {
  while (DispatchNext(now)) {
  }
}

bool AgentNode::DispatchNext(TimePoint now) {
  if (queue_.size() == 0 || FreeSlots() == 0) return false;
  if (gate_.ClosedReason(now)) return false;
  const auto id = queue_.Pop(OnlyUrgentSlotsFree(now));
  if (!id) return false;
  Attempt& attempt = attempts_.at(*id);
  Resources left = options_.profile.capacity;
  left -= in_use_;
  if (!left.CanFit(attempt.offer.size)) {
    queue_.Add(*id, attempt.offer.task_class, attempt.deadline);
    return false;
  }
  if (attempt.offer.assignment) {
    Start(attempt, now);
  } else {
    ReserveSlot(attempt, now);
  }
  return true;
}

void AgentNode::ReserveSlot(Attempt& attempt, TimePoint now) {
  attempt.state = State::kReady;
  attempt.ready_at = now;
  ++reserved_slots_;
  in_use_ += attempt.offer.size;
  ++counters_.readies;
  RecordEvent(EventKind::kReadySent, now, &attempt, "");
  SendToEntry(attempt.offer.attempt.entry, Ready{attempt.offer.attempt, {}},
              now);
}

void AgentNode::On(LinkId /*link*/, const Grant& grant, TimePoint now) {
  const auto found = attempts_.find(grant.attempt);
  if (found == attempts_.end()) {
    if (HandleDecided(grant.attempt, now)) {
      ++counters_.duplicates;
      return;
    }
    ++counters_.late_grants;
    history_.Record(grant.attempt, AttemptDecision::kDropped, now);
    SendNotStarted(grant.attempt,
                   MakeError(ErrorCode::kUnavailable, "grant",
                             "the grant arrived after its TTL had expired"),
                   now);
    return;
  }
  Attempt& attempt = found->second;
  if (attempt.state != State::kReady) {
    ++counters_.duplicates;
    return;
  }
  if (now - attempt.ready_at > options_.grant_ttl) {
    ++counters_.late_grants;
    DropUnstarted(grant.attempt,
                  MakeError(ErrorCode::kUnavailable, "grant",
                            "the grant arrived after its TTL had expired"),
                  now);
    return;
  }
  if (const auto closed = gate_.ClosedReason(now)) {
    DropUnstarted(grant.attempt, *closed, now);
    return;
  }
  attempt.offer.assignment = grant.assignment;
  RecordEvent(EventKind::kGrantReceived, now, &attempt, "");
  --reserved_slots_;
  in_use_ -= attempt.offer.size;
  Start(attempt, now);
}

void AgentNode::CheckStartInvariants(TimePoint now) const {
  const bool is_in =
      gate_.configuration().IsInService(options_.profile.data_centre);
  CheckInvariant(Invariant::kNoStartInDataCentreOut,
                 is_in && gate_.IsFresh(now),
                 "start at " + options_.profile.id.value());
  const bool left =
      leaving_since_ && now - *leaving_since_ > kLeavingGracePeriod;
  CheckInvariant(Invariant::kLeavingGetsNoWork, !left,
                 "start at " + options_.profile.id.value());
}

void AgentNode::Start(Attempt& attempt, TimePoint now) {
  CheckStartInvariants(now);
  const AttemptId id = attempt.offer.attempt;
  const bool is_first = history_.Record(id, AttemptDecision::kStarted, now);
  CheckInvariant(Invariant::kStartsAtMostOnce, is_first,
                 "attempt " + ToString(id) + " started again");
  attempt.state = State::kRunning;
  attempt.started_at = now;
  ++running_;
  in_use_ += attempt.offer.size;
  ++counters_.starts;
  const ServiceSpec* spec =
      gate_.configuration().FindService(attempt.offer.service);
  StartCall call;
  call.attempt = id;
  call.job = attempt.offer.assignment->job;
  call.task = attempt.offer.assignment->task;
  call.path = spec == nullptr ? "/" : spec->path;
  call.timeout = spec == nullptr ? ServiceSpec().timeout : spec->timeout;
  call.payload = std::exchange(attempt.offer.assignment->payload, {});
  call.repeatable = attempt.offer.repeatable;
  monitor_.CallStarted(id, attempt.offer.service, call.timeout, now);
  RecordEvent(EventKind::kCallStarted, now, &attempt,
              attempt.offer.service.value());
  actions_.push_back(std::move(call));
}

// ---- returning attempts

void AgentNode::ReleaseResources(const Attempt& attempt) {
  if (attempt.state == State::kQueued) {
    queue_.Remove(attempt.offer.attempt, attempt.offer.task_class,
                  attempt.deadline);
  }
  if (attempt.state == State::kReady) {
    --reserved_slots_;
    in_use_ -= attempt.offer.size;
  }
}

void AgentNode::DropUnstarted(const AttemptId& id, Error reason,
                              TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  ReleaseResources(found->second);
  RecordEvent(EventKind::kNotStarted, now, &found->second, reason.message);
  attempts_.erase(found);
  history_.Record(id, AttemptDecision::kDropped, now);
  SendNotStarted(id, std::move(reason), now);
}

void AgentNode::SendNotStarted(const AttemptId& id, Error reason,
                               TimePoint now) {
  ++counters_.not_started;
  SendToEntry(id.entry, NotStarted{id, std::move(reason), {}}, now);
}

void AgentNode::DropAllUnstarted(const Error& reason, TimePoint now) {
  std::vector<AttemptId> unstarted;
  for (const auto& [id, attempt] : attempts_) {
    const bool waits =
        attempt.state == State::kQueued || attempt.state == State::kReady;
    if (waits) unstarted.push_back(id);
  }
  for (const AttemptId& id : unstarted) DropUnstarted(id, reason, now);
}

void AgentNode::On(LinkId /*link*/, const Withdraw& withdraw, TimePoint now) {
  const auto found = attempts_.find(withdraw.attempt);
  if (found == attempts_.end()) return;
  const State state = found->second.state;
  if (state != State::kQueued && state != State::kReady) return;
  ReleaseResources(found->second);
  attempts_.erase(found);
  DispatchQueued(now);
}

void AgentNode::On(LinkId /*link*/, const Cancel& cancel, TimePoint now) {
  const auto found = attempts_.find(cancel.attempt);
  if (found == attempts_.end()) return;
  if (found->second.state == State::kRunning) {
    actions_.push_back(AbortCall{cancel.attempt});
    return;
  }
  if (found->second.state == State::kDone) return;
  DropUnstarted(cancel.attempt,
                MakeError(ErrorCode::kCancelled, "cancel", "cancelled"), now);
  DispatchQueued(now);
}

}  // namespace geranium
