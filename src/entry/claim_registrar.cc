#include "entry/claim_registrar.h"

#include <algorithm>

namespace geranium {
namespace {

constexpr Duration kMaxTickInterval{500};

}  // namespace

void ClaimRegistrar::OnMessage(Incarnation from, const std::string& name,
                               const Message& message, TimePoint now) {
  OnHeard(from, now);
  if (const auto* claim = std::get_if<ClaimJob>(&message)) {
    Register(from, *claim);
  } else if (const auto* end = std::get_if<ClaimEnd>(&message)) {
    if (jobs_.End(end->job, from, end->number)) TellGranted(end->job);
  } else if (const auto* yield = std::get_if<ClaimYield>(&message)) {
    jobs_.Yield(yield->next.job,
                {from, yield->next.number, yield->next.sent_at});
    TellGranted(yield->next.job);
  } else if (const auto* open = std::get_if<OpenClaims>(&message)) {
    OnOpenClaims(from, *open);
    told_by_.insert(name);
  }
}

void ClaimRegistrar::Register(Incarnation from, const ClaimJob& claim) {
  ClaimAnswer answer{
      claim.job, claim.number, claim.sent_at, ClaimState::kClosed, {}};
  if (claim.held || is_open_) {
    const JobRegistrar::Queue& queue =
        jobs_.Add(claim.job, {from, claim.number, claim.sent_at});
    const JobRegistrar::Claim& first = queue.front();
    answer.holder = first.entry;
    answer.state =
        first.entry == from ? ClaimState::kGranted : ClaimState::kHeld;
    if (queue.size() > 1) {
      outbox_.emplace_back(
          first.entry, ClaimWanted{claim.job, first.number, queue[1].entry});
    }
  }
  outbox_.emplace_back(from, answer);
}

void ClaimRegistrar::TellGranted(const StepJobId& job) {
  const JobRegistrar::Queue* queue = jobs_.Find(job);
  if (queue == nullptr) return;
  const JobRegistrar::Claim& first = queue->front();
  outbox_.emplace_back(first.entry,
                       ClaimAnswer{job, first.number, first.sent_at,
                                   ClaimState::kGranted, first.entry});
  if (queue->size() > 1) {
    outbox_.emplace_back(first.entry,
                         ClaimWanted{job, first.number, queue->at(1).entry});
  }
}

void ClaimRegistrar::OnOpenClaims(Incarnation from, const OpenClaims& open) {
  std::set<StepJobId> kept;
  for (const ClaimJob& claim : open.claims) kept.insert(claim.job);
  for (const StepJobId& job : jobs_.Remove(from, kept)) TellGranted(job);
  for (const ClaimJob& claim : open.claims) Register(from, claim);
  if (open.knew_predecessor) had_predecessor_ = true;
}

void ClaimRegistrar::OnTick(const std::set<std::string>& entries,
                            TimePoint now) {
  if (begun_ == TimePoint::Never()) begun_ = now;
  // What entries sent during a standstill may not have been read yet.
  if (now - std::exchange(last_tick_, now) > kMaxTickInterval) {
    for (auto& [entry, heard] : heard_) heard = now;
  }
  const bool is_told = !entries.empty() && !had_predecessor_ &&
                       std::includes(told_by_.begin(), told_by_.end(),
                                     entries.begin(), entries.end());
  is_open_ = is_open_ || is_told || now - begun_ >= kClaimExpiry;
  std::vector<Incarnation> lost;
  for (const Incarnation entry : jobs_.entries()) {
    const auto heard = heard_.find(entry);
    if (heard == heard_.end() || now - heard->second > kClaimExpiry) {
      lost.push_back(entry);
    }
  }
  for (const Incarnation entry : lost) {
    for (const StepJobId& job : jobs_.Remove(entry, {})) TellGranted(job);
  }
}

}  // namespace geranium
