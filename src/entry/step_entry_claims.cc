#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

// The claims of this entry: a job starts once a majority of its registrars has
// granted it to this entry, and goes on while that majority hears from it.

namespace geranium {
namespace {

constexpr std::size_t kRegistrars = 3;
/// A claim that is not granted is sent again after this long; one for which
/// too few registrars can be reached for as long is refused.
constexpr Duration kClaimRetryInterval{300};
constexpr Duration kClaimCheckInterval{20};

std::uint64_t Rank(const StepJobId& job, const std::string& address) {
  const std::string& id = job.value();
  return XXH64(address.data(), address.size(), XXH64(id.data(), id.size(), 0));
}

std::size_t Majority(std::size_t registrars) { return registrars / 2 + 1; }

}  // namespace

std::vector<std::string> StepEntryNode::RegistrarsOf(
    const StepJobId& job) const {
  if (!options_.registrar_agents.empty()) return options_.registrar_agents;
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const std::string& address : entry_addresses_) {
    ranked.emplace_back(Rank(job, address), address);
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > kRegistrars) ranked.resize(kRegistrars);
  std::vector<std::string> chosen;
  for (auto& [rank, address] : ranked) chosen.push_back(std::move(address));
  return chosen;
}

const std::string& StepEntryNode::RegistrarNameOf(const Hello& hello) {
  return hello.role == ProcessRole::kEntry ? hello.link_address : hello.name;
}

std::optional<LinkId> StepEntryNode::RegistrarLinkOf(
    Incarnation process) const {
  const auto found = registrar_links_.find(process);
  if (found == registrar_links_.end() || !peers_.contains(found->second)) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<Incarnation> StepEntryNode::RegistrarAt(
    const std::string& name) const {
  if (name == options_.link_address) return options_.incarnation;
  const auto found = registrars_at_.find(name);
  if (found == registrars_at_.end() ||
      !RegistrarLinkOf(found->second.current)) {
    return std::nullopt;
  }
  return found->second.current;
}

const std::string& StepEntryNode::RegistrarName(Incarnation process) const {
  static const std::string kNone;
  if (process == options_.incarnation) return options_.link_address;
  const auto found = registrar_names_.find(process);
  return found == registrar_names_.end() ? kNone : found->second;
}

// What this entry sends to itself as a registrar is handled with the actions.
void StepEntryNode::SendToProcess(Incarnation process, Message message) {
  if (process == options_.incarnation) {
    own_messages_.push_back(std::move(message));
  } else if (const auto link = RegistrarLinkOf(process)) {
    Send(*link, std::move(message));
  }
}

void StepEntryNode::HandleOwnMessages(TimePoint now) {
  while (!own_messages_.empty()) {
    const Message message = std::move(own_messages_.front());
    own_messages_.pop_front();
    OnClaimMessage(options_.incarnation, message, now);
  }
}

void StepEntryNode::OnClaimMessage(Incarnation from, const Message& message,
                                   TimePoint now) {
  if (const auto* answer = std::get_if<ClaimAnswer>(&message)) {
    OnClaimAnswer(from, *answer, now);
  } else if (const auto* wanted = std::get_if<ClaimWanted>(&message)) {
    OnClaimWanted(from, *wanted, now);
  } else {
    registrar_.OnMessage(from, RegistrarName(from), message, now);
    SendRegistrarMessages();
  }
}

// ---- as a claimant

bool StepEntryNode::MayStart(const StepJobId& job) const {
  if (!options_.uses_claims) return true;
  const auto found = claims_.find(job);
  return found != claims_.end() && found->second.held && !found->second.ending;
}

bool StepEntryNode::WaitsForClaimOf(const StepJobId& job,
                                    Incarnation entry) const {
  const auto found = claims_.find(job);
  if (found == claims_.end() || found->second.held) return false;
  const std::vector<ClaimVote>& votes = found->second.votes;
  return std::any_of(votes.begin(), votes.end(), [&](const auto& vote) {
    return vote.state == VoteState::kHeld && vote.holder == entry;
  });
}

// Until the claim is granted the job may have been started elsewhere: an entry
// that reaches no registrar cannot say that it was not.
void StepEntryNode::BeginClaim(const StepJobId& job, bool is_first,
                               TimePoint now) {
  const auto [found, is_new] = claims_.try_emplace(job);
  if (!is_new) return;
  found->second.begun = now;
  found->second.is_first = is_first;
  scheduler_.MarkMayHaveRun(job);
  for (std::string& address : RegistrarsOf(job)) {
    ClaimVote& vote = found->second.votes.emplace_back();
    vote.registrar = std::move(address);
    vote.number = next_claim_number_++;
    SendClaim(job, found->second, vote, now);
  }
}

void StepEntryNode::SendClaim(const StepJobId& job, const Claim& claim,
                              ClaimVote& vote, TimePoint now) {
  vote.asked_at = now;
  if (const auto entry = RegistrarAt(vote.registrar)) {
    SendToProcess(*entry, ClaimJob{job, vote.number, now, claim.held});
  }
}

void StepEntryNode::OnClaimAnswer(Incarnation from, const ClaimAnswer& answer,
                                  TimePoint now) {
  const auto found = claims_.find(answer.job);
  const bool is_granted = answer.state == ClaimState::kGranted;
  if (found == claims_.end()) {
    // Ended here; the message that said so was lost.
    if (is_granted) SendToProcess(from, ClaimEnd{answer.job, answer.number});
    return;
  }
  Claim& claim = found->second;
  const auto vote = std::find_if(
      claim.votes.begin(), claim.votes.end(),
      [&](const auto& each) { return each.registrar == RegistrarName(from); });
  if (vote == claim.votes.end() || vote->number != answer.number) return;
  vote->answered_at = now;
  vote->holder = answer.holder;
  if (!is_granted) {
    const bool is_held = answer.state == ClaimState::kHeld;
    vote->state = is_held ? VoteState::kHeld : VoteState::kClosed;
    if (is_held) claim.was_refused = true;
  } else if (now - answer.claim_sent_at > kClaimProofTimeout) {
    // The registrar may have taken this entry for lost since.
    if (vote->state != VoteState::kGranted) {
      SendClaim(answer.job, claim, *vote, now);
    }
  } else {
    const bool is_renewed =
        vote->state == VoteState::kGranted && vote->entry == from;
    vote->state = VoteState::kGranted;
    vote->entry = from;
    vote->proof = is_renewed ? std::max(vote->proof, answer.claim_sent_at)
                             : answer.claim_sent_at;
  }
  UpdateClaim(answer.job, claim, now);
}

void StepEntryNode::UpdateClaim(const StepJobId& job, Claim& claim,
                                TimePoint now) {
  if (claim.ending) return;
  const auto granted = static_cast<std::size_t>(std::count_if(
      claim.votes.begin(), claim.votes.end(),
      [](const auto& vote) { return vote.state == VoteState::kGranted; }));
  const bool has_majority = granted >= Majority(claim.votes.size());
  if (claim.held) {
    if (!has_majority) LoseClaim(job, claim, now);
  } else if (has_majority) {
    claim.held = true;
    if (claim.is_wanted) {
      // Those that waited for the job may have withdrawn.
      for (ClaimVote& vote : claim.votes) SendClaim(job, claim, vote, now);
    }
    if (!handovers_.contains(job)) {
      scheduler_.Release(job, claim.is_first && !claim.was_refused, now);
    }
  } else {
    YieldIfOutvoted(job, claim, now);
  }
}

// Of two that each hold some votes one steps back and waits.
void StepEntryNode::YieldIfOutvoted(const StepJobId& job, Claim& claim,
                                    TimePoint now) {
  std::map<Incarnation, std::size_t> held;
  for (const ClaimVote& vote : claim.votes) {
    if (vote.state == VoteState::kHeld) ++held[vote.holder];
  }
  const bool is_lost = std::any_of(held.begin(), held.end(), [&](auto& item) {
    return item.second >= Majority(claim.votes.size());
  });
  const bool is_lower =
      !held.empty() && options_.incarnation < held.rbegin()->first;
  if (is_lost && !claim.is_outvoted && !handovers_.contains(job)) {
    claim.is_outvoted = true;
    Log(LogLevel::kWarning, "job_taken_twice",
        {{"job", job.value()}, {"other", ToString(held.rbegin()->first)}});
  }
  if (!is_lost && !is_lower) return;
  for (ClaimVote& vote : claim.votes) {
    if (vote.state != VoteState::kGranted || vote.has_yielded) continue;
    vote.has_yielded = true;
    vote.state = VoteState::kAsked;
    vote.number = next_claim_number_++;
    vote.asked_at = now;
    SendToProcess(vote.entry, ClaimYield{{job, vote.number, now, false}});
  }
}

void StepEntryNode::OnClaimWanted(Incarnation from, const ClaimWanted& wanted,
                                  TimePoint now) {
  const auto found = claims_.find(wanted.job);
  if (found == claims_.end()) {
    SendToProcess(from, ClaimEnd{wanted.job, wanted.number});
    return;
  }
  Claim& claim = found->second;
  if (claim.ending) return;
  if (!claim.held) {
    claim.is_wanted = true;
    return;
  }
  const auto own = handovers_.find(wanted.job);
  const bool is_mutual =
      own != handovers_.end() && own->second.from == wanted.by;
  // Of two entries that wait for each other, one gives the job up.
  if (is_mutual && wanted.by < options_.incarnation) return;
  claim.ending = true;
  Log(LogLevel::kInfo, "job_handover_asked", {{"job", wanted.job.value()}});
  scheduler_.Relinquish(wanted.job, now);
  if (is_mutual) ContinueHandover(wanted.job, now);
}

// The registrars may grant the job to another entry before long.
void StepEntryNode::LoseClaim(const StepJobId& job, Claim& claim,
                              TimePoint now) {
  claim.ending = true;
  ++lost_claims_;
  Log(LogLevel::kWarning, "job_claim_lost", {{"job", job.value()}});
  scheduler_.Relinquish(job, now);
}

void StepEntryNode::EndClaim(const StepJobId& job) {
  const auto found = claims_.find(job);
  if (found == claims_.end()) return;
  for (const ClaimVote& vote : found->second.votes) {
    if (const auto entry = RegistrarAt(vote.registrar)) {
      SendToProcess(*entry, ClaimEnd{job, vote.number});
    }
  }
  claims_.erase(found);
}

// A later submission of the same job has to claim it anew.
void StepEntryNode::EndRelinquishedClaim(const StepJobId& job, TimePoint now) {
  const auto found = claims_.find(job);
  if (found == claims_.end() || !found->second.ending) return;
  EndClaim(job);
  if (scheduler_.HasUnansweredJob(job)) BeginClaim(job, false, now);
}

void StepEntryNode::EndClosedClaims() {
  for (const StepJobId& job : scheduler_.TakeClosed()) {
    if (!scheduler_.MayHaveRuns(job)) EndClaim(job);
  }
}

// ---- time

void StepEntryNode::CheckClaims(TimePoint now) {
  if (!options_.uses_claims || now < next_claim_check_) return;
  next_claim_check_ = now + kClaimCheckInterval;
  std::vector<StepJobId> jobs;
  for (const auto& [job, claim] : claims_) jobs.push_back(job);
  for (const StepJobId& job : jobs) {
    const auto found = claims_.find(job);
    if (found != claims_.end()) CheckClaim(job, found->second, now);
  }
  TickRegistrar(now);
}

void StepEntryNode::CheckClaim(const StepJobId& job, Claim& claim,
                               TimePoint now) {
  std::size_t reachable = 0;
  for (ClaimVote& vote : claim.votes) {
    if (vote.state == VoteState::kGranted &&
        vote.registrar != options_.link_address) {
      vote.proof = std::max(vote.proof, proofs_[vote.entry]);
      if (now - vote.proof > kClaimProofTimeout) {
        vote.state = VoteState::kAsked;
        vote.asked_at = TimePoint::Never();
      }
    }
    const bool is_due = vote.state != VoteState::kGranted &&
                        now - vote.asked_at >= kClaimRetryInterval;
    if (is_due && !claim.ending) SendClaim(job, claim, vote, now);
    const bool is_reachable = vote.state == VoteState::kGranted ||
                              (RegistrarAt(vote.registrar) &&
                               now - std::max(vote.answered_at, claim.begun) <=
                                   kClaimRetryInterval * 2);
    if (is_reachable) ++reachable;
  }
  UpdateClaim(job, claim, now);
  if (claim.held || claim.ending || reachable >= Majority(claim.votes.size()) ||
      now - claim.begun < kClaimRetryInterval) {
    return;
  }
  scheduler_.RefuseHeld(job, "too few of the job's registrars can be reached",
                        now);
}

// ---- registrars

void StepEntryNode::TickRegistrar(TimePoint now) {
  std::set<std::string> others = entry_addresses_;
  others.erase(options_.link_address);
  registrar_.OnHeard(options_.incarnation, now);
  registrar_.OnTick(others, now);
  SendRegistrarMessages();
}

void StepEntryNode::SendRegistrarMessages() {
  for (auto& [entry, message] : registrar_.TakeMessages()) {
    SendToProcess(entry, std::move(message));
  }
}

void StepEntryNode::OnRegistrarLinked(LinkId link, const Hello& hello,
                                      TimePoint now) {
  if (!options_.uses_claims) return;
  const std::string& name = RegistrarNameOf(hello);
  registrar_links_[hello.incarnation] = link;
  registrar_names_[hello.incarnation] = name;
  ProcessesAt& known = registrars_at_[name];
  if (known.current != hello.incarnation) {
    known.previous = known.current;
    known.current = hello.incarnation;
  }
  OpenClaims open;
  const auto heard = registrar_heard_.find(known.previous);
  open.knew_predecessor = heard != registrar_heard_.end() &&
                          now - heard->second <= ClaimRegistrar::kClaimExpiry;
  for (auto& [job, claim] : claims_) {
    for (ClaimVote& vote : claim.votes) {
      if (vote.registrar != name) continue;
      if (vote.state == VoteState::kGranted &&
          vote.entry != hello.incarnation) {
        vote.state = VoteState::kAsked;
      }
      vote.asked_at = now;
      open.claims.push_back({job, vote.number, now, claim.held});
    }
  }
  SendToProcess(hello.incarnation, std::move(open));
}

}  // namespace geranium
