#include <algorithm>

#include "entry/step_entry_node.h"

// Which other processes an entry is in contact with. Entries that are cut off
// from each other may still reach the same agents, and an entry that is cut off
// from all others has to conclude from that what those do.

namespace geranium {

// Its agents stop its runs once they no longer hear from it, so an entry that
// nobody hears has none left. While this entry is itself the one that is cut
// off, the silence of others says nothing about them.
bool StepEntryNode::IsLost(Incarnation entry, TimePoint now) const {
  const auto heard = entry_heard_.find(entry);
  if (heard == entry_heard_.end()) return true;
  if (now - heard->second <= StepScheduler::kWorkerLostTimeout) return false;
  return !is_cut_off_ && !IsCutFromEntries(now);
}

// At sites with many entries each agent is linked to a few of them, so an entry
// that has only agents left to ask cannot learn who else is still heard.
bool StepEntryNode::IsCutFromEntries(TimePoint now) const {
  return entry_links_.empty() &&
         std::any_of(entry_heard_here_.begin(), entry_heard_here_.end(),
                     [&](const auto& item) {
                       return now - item.second <=
                              StepScheduler::kWorkerLostTimeout;
                     });
}

bool StepEntryNode::IsAnyCutOff(TimePoint now) const {
  return std::any_of(
      entry_heard_.begin(), entry_heard_.end(), [&](const auto& item) {
        return !entry_links_.contains(item.first) && !IsLost(item.first, now);
      });
}

void StepEntryNode::On(LinkId link, const EntriesHeard& heard, TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  const bool from_agent = peer.hello->role == ProcessRole::kAgent;
  for (const EntryHeard& item : heard.entries) {
    if (item.entry == options_.incarnation) continue;
    const TimePoint heard_at = now - item.age;
    const auto update = [&](std::map<Incarnation, TimePoint>& times) {
      TimePoint& time = times.try_emplace(item.entry, heard_at).first->second;
      time = std::max(time, heard_at);
    };
    update(entry_heard_);
    // What other entries tell is not passed on, so that no two of them refer to
    // each other.
    if (from_agent) update(entry_heard_here_);
  }
}

void StepEntryNode::On(LinkId link, const EntriesSilent& silent,
                       TimePoint now) {
  EntriesHeard heard;
  for (const Incarnation entry : silent.entries) {
    const auto found = entry_heard_here_.find(entry);
    if (found == entry_heard_here_.end()) continue;
    const Duration age = now - found->second;
    if (age > StepScheduler::kWorkerLostTimeout) continue;
    heard.entries.push_back({entry, age});
  }
  if (!heard.entries.empty()) Send(link, std::move(heard));
}

void StepEntryNode::SendSilentEntries(TimePoint now) {
  if (is_cut_off_ || now < next_silence_query_ || entry_links_.empty()) return;
  EntriesSilent silent;
  Duration interval = kPeerHeartbeatInterval;
  for (const auto& [entry, heard] : entry_heard_) {
    if (IsLost(entry, now)) continue;
    const auto here = entry_heard_here_.find(entry);
    const bool is_heard = here != entry_heard_here_.end() &&
                          now - here->second <= kSilenceBeforeQuery;
    if (is_heard) continue;
    silent.entries.push_back(entry);
    if (now - heard > kSilenceBeforeUrgentQuery) interval = kHeartbeatInterval;
  }
  if (silent.entries.empty()) return;
  next_silence_query_ = now + interval;
  for (const auto& [entry, link] : entry_links_) Send(link, silent);
}

// An entry that knows no other one keeps its jobs: nobody can take them over.
void StepEntryNode::AbandonJobsIfUnheard(TimePoint now) {
  if (is_cut_off_ || entry_heard_.empty() ||
      heard_by_others_at_ == TimePoint::Never() ||
      now - heard_by_others_at_ <= kMaxUnheard) {
    return;
  }
  is_cut_off_ = true;
  const std::size_t abandoned = scheduler_.AbandonOpenJobs(
      "the entry is cut off and another may have taken the job over", now);
  CollectActions(now);
  Log(LogLevel::kWarning, "cut_off",
      {{"unheard_ms", std::to_string((now - heard_by_others_at_).ms())},
       {"abandoned_jobs", std::to_string(abandoned)}});
}

// An entry that was cut off knows as little of the jobs of others as one that
// has just started.
void StepEntryNode::OnHeardByOthers(TimePoint sent_at, TimePoint now) {
  heard_by_others_at_ = std::max(heard_by_others_at_, sent_at);
  if (!is_cut_off_ || now - sent_at > kMaxUnheard) return;
  is_cut_off_ = false;
  BeginStart(now);
  CatchUp(now);
  Log(LogLevel::kInfo, "reachable_again", {});
}

}  // namespace geranium
