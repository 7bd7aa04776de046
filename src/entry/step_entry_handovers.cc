#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

namespace geranium {

bool StepEntryNode::BeginHandover(const StepJobId& job, TimePoint now) {
  Handover handover;
  handover.is_query_due = HasMissedAnnouncements(now);
  KnownJob* known = known_jobs_.Find(job);
  handover.is_first = known == nullptr;
  if (known != nullptr) {
    known->successor.reset();
    handover.others = known->holders;
  }
  if (scheduler_.MayHaveRuns(job)) {
    // Resubmitted while an earlier submission is still in progress here.
    handover.from = options_.incarnation;
    handover.requested_at = now;
    handovers_[job] = std::move(handover);
    scheduler_.Relinquish(job, now);
    return true;
  }
  if (AskNextHolder(job, handover, now)) return true;
  if (!handover.is_query_due) return false;
  BeginQuery(job, std::move(handover), now);
  return true;
}

bool StepEntryNode::AskNextHolder(const StepJobId& job, Handover handover,
                                  TimePoint now) {
  std::vector<Incarnation>& holders = handover.others;
  std::erase_if(holders, [&](Incarnation entry) {
    return IsLost(entry, now) || handover.released.contains(entry);
  });
  if (holders.empty()) return false;
  const Incarnation newest = holders.back();
  holders.pop_back();
  handover.from = newest;
  handover.requested_at = now;
  SendHandoverRequest(job, handover);
  handovers_[job] = std::move(handover);
  Log(LogLevel::kInfo, "job_sent_again",
      {{"job", job.value()}, {"held_by", ToString(newest)}});
  return true;
}

void StepEntryNode::SendHandoverRequest(const StepJobId& job,
                                        const Handover& handover) {
  const auto link = LinkOf(*handover.from);
  if (!link) return;
  Send(*link, JobHandoverRequest{
                  job, {handover.released.begin(), handover.released.end()}});
}

void StepEntryNode::AddHolder(const StepJobId& job, Handover& handover,
                              Incarnation entry, TimePoint now) {
  if (entry == options_.incarnation) return;
  // One not heard from yet gets the time that any other one has.
  entry_heard_.try_emplace(entry, now);
  std::erase(handover.others, entry);
  handover.others.push_back(entry);
  std::vector<Incarnation>& known = known_jobs_.Keep(job, now).holders;
  std::erase(known, entry);
  known.push_back(entry);
}

void StepEntryNode::ContinueHandover(const StepJobId& job, TimePoint now) {
  Handover handover = handovers_.at(job);
  if (KnownJob* known = known_jobs_.Find(job)) {
    std::erase(known->holders, *handover.from);
  }
  if (AskNextHolder(job, handover, now)) return;
  if (handover.is_query_due) {
    BeginQuery(job, std::move(handover), now);
  } else {
    EndHandover(job, false, now);
  }
}

// An entry that has got the job later than this one asks it for the job, which
// comes first on the link. One that does not ask did not know that this entry
// has the job: its announcement was under way, or it has restarted since.
void StepEntryNode::OnOtherHolder(const StepJobId& job, Incarnation entry,
                                  TimePoint now) {
  const auto requester = handover_requesters_.find(job);
  if (requester != handover_requesters_.end() &&
      requester->second.entry == entry) {
    return;
  }
  // It has been told that this one has the job, and is about to ask for it.
  KnownJob& known = known_jobs_.Keep(job, now);
  if (known.querier == entry) return;
  const auto own = handovers_.find(job);
  if (own != handovers_.end()) {
    if (own->second.from == entry) return;
    own->second.released.erase(entry);
    AddHolder(job, own->second, entry, now);
  } else if (scheduler_.HasUnansweredJob(job) && options_.incarnation < entry) {
    Log(LogLevel::kWarning, "job_taken_twice",
        {{"job", job.value()}, {"other", ToString(entry)}});
    scheduler_.Relinquish(job, now);
  } else if (scheduler_.HasUnansweredJob(job)) {
    // That one gives the job up, but its runs take a while to stop.
    scheduler_.Hold(job);
    known.successor.reset();
    Handover handover;
    handover.others = {entry};
    AskNextHolder(job, std::move(handover), now);
  }
}

// The entry that is to get the job next, or that has got it from here.
std::optional<Incarnation> StepEntryNode::SuccessorOf(
    const StepJobId& job) const {
  const auto requester = handover_requesters_.find(job);
  if (requester != handover_requesters_.end()) return requester->second.entry;
  const KnownJob* known = known_jobs_.Find(job);
  return known == nullptr ? std::nullopt : known->successor;
}

// A job is handed over to one entry only: a caller that loses two connections
// in a row has two other entries ask for its job. An entry that is asked stops
// waiting for others and names them instead, so that no circle of entries waits
// for each other.
void StepEntryNode::On(LinkId link, const JobHandoverRequest& request,
                       TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  const Incarnation requester = peer.hello->incarnation;
  const std::optional<Incarnation> successor = SuccessorOf(request.job);
  const bool is_released =
      successor && std::find(request.released.begin(), request.released.end(),
                             *successor) != request.released.end();
  if (successor && *successor != requester && !is_released) {
    Send(link, JobMoved{request.job, *successor});
    return;
  }
  const auto own = handovers_.find(request.job);
  const bool is_mutual =
      own != handovers_.end() && own->second.from == requester;
  // Of two entries that wait for each other, one gives the job up.
  if (is_mutual && requester < options_.incarnation) return;
  handover_requesters_[request.job] = HandoverRequester{requester, link};
  if (KnownJob* known = known_jobs_.Find(request.job)) known->querier.reset();
  scheduler_.Relinquish(request.job, now);
  Log(LogLevel::kInfo, "job_handover_asked",
      {{"job", request.job.value()}, {"by", ToString(requester)}});
}

// Null unless the sender is the one that is asked now: an answer to an earlier
// request may arrive late, or twice.
StepEntryNode::Handover* StepEntryNode::FindHandover(const StepJobId& job,
                                                     LinkId sender) {
  const auto found = handovers_.find(job);
  const Peer& peer = peers_[sender];
  const bool matches = found != handovers_.end() && peer.hello &&
                       peer.hello->incarnation == found->second.from;
  return matches ? &found->second : nullptr;
}

void StepEntryNode::On(LinkId link, const JobHandedOver& handed,
                       TimePoint now) {
  Handover* handover = FindHandover(handed.job, link);
  if (handover == nullptr) return;
  handover->released.insert(*handover->from);
  for (const Incarnation entry : handed.holders) {
    if (!handover->released.contains(entry)) {
      AddHolder(handed.job, *handover, entry, now);
    }
  }
  ContinueHandover(handed.job, now);
}

void StepEntryNode::On(LinkId link, const JobMoved& moved, TimePoint now) {
  Handover* handover = FindHandover(moved.job, link);
  if (handover == nullptr) return;
  handover->requested_at = now;
  // Else it is asked again, and told that the other one waits no longer.
  if (!handover->released.contains(moved.entry)) {
    std::erase(known_jobs_.Keep(moved.job, now).holders, *handover->from);
    AddHolder(moved.job, *handover, moved.entry, now);
    std::erase(handover->others, moved.entry);
    handover->from = moved.entry;
  }
  SendHandoverRequest(moved.job, *handover);
}

void StepEntryNode::EndHandover(const StepJobId& job, bool is_first,
                                TimePoint now) {
  if (scheduler_.IsBeingRelinquished(job)) {
    // The job came here again while others were asked for it.
    handovers_.at(job).from = options_.incarnation;
    return;
  }
  handovers_.erase(job);
  scheduler_.Release(job, is_first, now);
  if (!scheduler_.HasJob(job)) SendHandedOver(job, now);
}

// An entry that was killed, froze or lost its machine sends no heartbeats to
// its agents either, so its runs end within the timeout for a lost worker. One
// that is cut off from this entry alone still sends them, and is waited for.
void StepEntryNode::CheckHandovers(TimePoint now) {
  // Nobody here waits for these, and which others may have them is known.
  std::erase_if(handovers_, [&](const auto& item) {
    return !scheduler_.HasUnansweredJob(item.first) &&
           !scheduler_.MayHaveRuns(item.first) &&
           !handover_requesters_.contains(item.first);
  });
  CheckQueries(now);
  std::vector<StepJobId> ended;
  for (auto& [job, handover] : handovers_) {
    if (!handover.from || handover.from == options_.incarnation) continue;
    if (IsLost(*handover.from, now)) {
      ended.push_back(job);
    } else if (now - handover.requested_at > kHandoverRetryInterval) {
      // The request or its answer was lost with a previous link.
      handover.requested_at = now;
      SendHandoverRequest(job, handover);
      const auto namer = handover.named_by.find(*handover.from);
      if (!LinkOf(*handover.from) && namer != handover.named_by.end()) {
        SendQuery(job, namer->second, now);
      }
    }
  }
  for (const StepJobId& job : ended) ContinueHandover(job, now);
}

// The requests, or the answers to them, were lost with an earlier link.
void StepEntryNode::ResendHandoverRequests(Incarnation entry, TimePoint now) {
  for (auto& [job, handover] : handovers_) {
    if (handover.queried.contains(entry)) SendQuery(job, entry, now);
    if (handover.from != entry) continue;
    handover.requested_at = now;
    SendHandoverRequest(job, handover);
  }
}

void StepEntryNode::OnRelinquished(TimePoint now) {
  for (const StepJobId& job : scheduler_.TakeRelinquished()) {
    const auto own = handovers_.find(job);
    const bool is_queried = own != handovers_.end() && !own->second.from;
    const bool is_own =
        own != handovers_.end() && own->second.from == options_.incarnation;
    if (scheduler_.HasUnansweredJob(job)) {
      // Submitted here after another entry had asked, which asks again.
      handover_requesters_.erase(job);
      if (is_own) ContinueHandover(job, now);
    } else if (!is_queried) {
      SendHandedOver(job, now);
    }
    // Otherwise the entry that had it before may still have runs of it.
  }
}

void StepEntryNode::SendHandedOver(const StepJobId& job, TimePoint now) {
  const auto found = handover_requesters_.find(job);
  if (found == handover_requesters_.end()) return;
  const HandoverRequester requester = found->second;
  handover_requesters_.erase(found);
  KnownJob& known = known_jobs_.Keep(job, now);
  std::erase(known.holders, requester.entry);
  JobHandedOver handed{job, known.holders};
  if (const auto own = handovers_.find(job); own != handovers_.end()) {
    std::vector<Incarnation> others = std::move(own->second.others);
    if (own->second.from) others.push_back(*own->second.from);
    for (const Incarnation entry : others) {
      std::erase(handed.holders, entry);
      handed.holders.push_back(entry);
    }
    handovers_.erase(own);
  }
  std::erase_if(handed.holders, [&](Incarnation entry) {
    return entry == requester.entry || entry == options_.incarnation ||
           IsLost(entry, now);
  });
  known.holders.push_back(requester.entry);
  known.successor = requester.entry;
  if (peers_.contains(requester.link)) Send(requester.link, std::move(handed));
}

}  // namespace geranium
