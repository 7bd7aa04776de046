#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

// An entry that stood still, or has just started, has missed announcements.
// Until it has caught up with all others it asks them of each job.

namespace geranium {
namespace {

/// Entries that can answer have done so this long after a standstill or a
/// start. The others stand still themselves or are cut off.
constexpr Duration kCatchUpTime{50};
/// Entries asked besides those that this one has not caught up with.
constexpr std::size_t kVouchers = 3;
/// A process that has run for this long is linked to all others.
constexpr Duration kEntryDiscoveryTime{3000};

}  // namespace

std::set<Incarnation> StepEntryNode::UnreadEntries(TimePoint now) const {
  std::set<Incarnation> unread = unread_entries_;
  std::erase_if(unread, [&](Incarnation entry) { return IsLost(entry, now); });
  return unread;
}

bool StepEntryNode::KnowsAllHolders(TimePoint now) const {
  return now - started_at_ >= kEntryDiscoveryTime && UnreadEntries(now).empty();
}

// Whoever ran something before this process started has been heard from by now,
// or counts as lost.
bool StepEntryNode::IsStarting(TimePoint now) const {
  return now - started_at_ <= StepScheduler::kWorkerLostTimeout;
}

// Entries that are known by their addresses only may have any job.
bool StepEntryNode::IsLinkedToAllEntries() const {
  std::set<std::string> linked{options_.link_address};
  for (const auto& [link, peer] : peers_) {
    if (!peer.hello || peer.hello->role != ProcessRole::kEntry) continue;
    linked.insert(peer.hello->link_address);
  }
  return linked.size() > 1 &&
         std::includes(linked.begin(), linked.end(), entry_addresses_.begin(),
                       entry_addresses_.end());
}

bool StepEntryNode::HasMissedAnnouncements(TimePoint now) const {
  return is_cut_off_ || IsStarting(now) || !UnreadEntries(now).empty();
}

void StepEntryNode::BeginStart(TimePoint now) {
  started_at_ = now;
  standstill_end_ = now;
}

// Its open jobs come first on a link, and its echo behind them.
void StepEntryNode::ReadFromStart(Incarnation entry, TimePoint now) {
  if (now - started_at_ >= kEntryDiscoveryTime) return;
  unread_entries_.insert(entry);
  for (auto& [job, handover] : handovers_) {
    if (!handover.from) handover.queried.insert(entry);
  }
}

// Different ones for different jobs.
std::set<Incarnation> StepEntryNode::ChooseVouchers(
    const StepJobId& job) const {
  std::set<Incarnation> chosen;
  const Incarnation first(std::hash<StepJobId>()(job));
  auto next = entry_links_.lower_bound(first);
  for (std::size_t i = 0; i < entry_links_.size(); ++i, ++next) {
    if (next == entry_links_.end()) next = entry_links_.begin();
    if (!unread_entries_.contains(next->first)) chosen.insert(next->first);
    if (chosen.size() == kVouchers) break;
  }
  return chosen;
}

void StepEntryNode::BeginQuery(const StepJobId& job, Handover handover,
                               TimePoint now) {
  handover.from.reset();
  handover.is_query_due = false;
  handover.is_vouched_for = false;
  handover.requested_at = now;
  handover.queried = UnreadEntries(now);
  handover.queried.merge(ChooseVouchers(job));
  for (const Incarnation entry : handover.queried) SendQuery(job, entry, now);
  Log(LogLevel::kInfo, "job_holders_queried",
      {{"job", job.value()},
       {"entries", std::to_string(handover.queried.size())}});
  handovers_[job] = std::move(handover);
}

void StepEntryNode::SendQuery(const StepJobId& job, Incarnation entry,
                              TimePoint now) {
  if (const auto link = LinkOf(entry)) Send(*link, JobHoldersQuery{job, now});
}

std::vector<Incarnation> StepEntryNode::HoldersOf(const StepJobId& job,
                                                  TimePoint now) const {
  std::vector<Incarnation> holders;
  if (const KnownJob* known = known_jobs_.Find(job)) holders = known->holders;
  std::erase_if(holders, [&](Incarnation entry) { return IsLost(entry, now); });
  if (const auto successor = SuccessorOf(job)) {
    std::erase(holders, *successor);
    holders.push_back(*successor);
  }
  if (scheduler_.MayHaveRuns(job) || handovers_.contains(job)) {
    holders.push_back(options_.incarnation);
  }
  return holders;
}

void StepEntryNode::On(LinkId link, const JobHoldersQuery& query,
                       TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  const Incarnation requester = peer.hello->incarnation;
  std::vector<Incarnation> holders = HoldersOf(query.job, now);
  std::erase(holders, requester);
  KnownJob& known = known_jobs_.Keep(query.job, now);
  std::erase(known.holders, requester);
  known.holders.push_back(requester);
  const bool is_holder = std::find(holders.begin(), holders.end(),
                                   options_.incarnation) != holders.end();
  if (is_holder) known.querier = requester;
  Send(link, JobHolders{query.job, query.sent_at, std::move(holders),
                        KnowsAllHolders(now)});
}

void StepEntryNode::On(LinkId link, const JobHolders& holders, TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello || holders.query_sent_at < standstill_end_) return;
  const Incarnation sender = peer.hello->incarnation;
  // What it sent before has been read.
  unread_entries_.erase(sender);
  const auto found = handovers_.find(holders.job);
  if (found == handovers_.end()) return;
  Handover& handover = found->second;
  if (handover.from) {
    const auto namer = handover.named_by.find(*handover.from);
    const bool is_gone =
        namer != handover.named_by.end() && namer->second == sender &&
        !LinkOf(*handover.from) &&
        std::find(holders.entries.begin(), holders.entries.end(),
                  *handover.from) == holders.entries.end();
    if (is_gone) ContinueHandover(holders.job, now);
    return;
  }
  if (handover.queried.erase(sender) == 0) return;
  for (const Incarnation entry : holders.entries) {
    // A holder that was heard from is waited for, whoever names it.
    if (holders.knows_all && !entry_heard_.contains(entry)) {
      handover.named_by[entry] = sender;
    }
    AddHolder(holders.job, handover, entry, now);
  }
  if (holders.knows_all) handover.is_vouched_for = true;
  EndQueryIfDone(holders.job, now);
}

void StepEntryNode::EndQueryIfDone(const StepJobId& job, TimePoint now) {
  if (is_cut_off_) return;
  Handover& handover = handovers_.at(job);
  std::erase_if(handover.queried,
                [&](Incarnation entry) { return IsLost(entry, now); });
  const bool caught_up = now - standstill_end_ >= kCatchUpTime;
  const bool vouched_for = handover.is_vouched_for && caught_up;
  const bool is_open =
      !handover.queried.empty() || (IsStarting(now) && !IsLinkedToAllEntries());
  if (is_open && !vouched_for) return;
  // One that has asked for the job meanwhile gets it from here.
  if (const auto requester = handover_requesters_.find(job);
      requester != handover_requesters_.end()) {
    std::erase(handover.others, requester->second.entry);
  }
  const bool is_first = handover.is_first && handover.others.empty();
  handover.queried.clear();
  if (!AskNextHolder(job, handover, now)) EndHandover(job, is_first, now);
}

// What was answered before a standstill says nothing of what was missed in it.
void StepEntryNode::RestartQueries(TimePoint now) {
  std::vector<StepJobId> open;
  for (auto& [job, handover] : handovers_) {
    if (handover.from) {
      handover.is_query_due = true;
    } else {
      open.push_back(job);
    }
  }
  for (const StepJobId& job : open) {
    BeginQuery(job, handovers_.at(job), now);
  }
}

void StepEntryNode::CheckQueries(TimePoint now) {
  std::vector<StepJobId> open;
  for (auto& [job, handover] : handovers_) {
    if (handover.from) continue;
    open.push_back(job);
    if (now - handover.requested_at <= kHandoverRetryInterval) continue;
    handover.requested_at = now;
    for (const Incarnation entry : handover.queried) SendQuery(job, entry, now);
  }
  for (const StepJobId& job : open) EndQueryIfDone(job, now);
}

}  // namespace geranium
