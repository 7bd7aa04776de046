#include <utility>

#include "entry/step_entry_node.h"

// What an entry knows of the jobs that others have open, and tells them of its
// own.

namespace geranium {

void StepEntryNode::On(LinkId link, const JobsAccepted& accepted,
                       TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  const Incarnation entry = peer.hello->incarnation;
  for (const StepJobId& job : accepted.jobs) {
    std::vector<Incarnation>& holders = KeepKnownJob(job, now).holders;
    std::erase(holders, entry);
    holders.push_back(entry);
    OnOtherHolder(job, entry, now);
  }
}

StepEntryNode::KnownJob& StepEntryNode::KeepKnownJob(const StepJobId& job,
                                                     TimePoint now) {
  KnownJob& known = known_jobs_[job];
  known.updated_at = now;
  known_job_expiry_.emplace(now + kKnownJobRetention, job);
  return known;
}

void StepEntryNode::ForgetExpiredJobs(TimePoint now) {
  while (!known_job_expiry_.empty() &&
         known_job_expiry_.begin()->first <= now) {
    const StepJobId job = known_job_expiry_.begin()->second;
    known_job_expiry_.erase(known_job_expiry_.begin());
    const auto found = known_jobs_.find(job);
    if (found == known_jobs_.end()) continue;
    const Duration retention =
        found->second.cancelled ? kCancelledJobRetention : kKnownJobRetention;
    if (now - found->second.updated_at >= retention) known_jobs_.erase(found);
  }
}

// Announcements may have been lost with an earlier link.
void StepEntryNode::SendOpenJobs(LinkId link, TimePoint now) {
  JobsAccepted accepted{scheduler_.OpenJobs(now)};
  if (!accepted.jobs.empty()) Send(link, std::move(accepted));
}

// The others forget an announced job after a while, in which most jobs end.
void StepEntryNode::ReannounceJobs(TimePoint now) {
  if (now < next_reannouncement_) return;
  next_reannouncement_ = now + kReannounceInterval;
  for (const StepJobId& job : scheduler_.OpenJobs(now - kReannounceInterval)) {
    unannounced_.push_back(job);
  }
}

void StepEntryNode::AnnounceJobs(TimePoint now) {
  if (unannounced_.empty()) return;
  next_announcement_ = now + kAnnouncementSpacing *
                                 static_cast<std::int64_t>(entry_links_.size());
  const JobsAccepted accepted{std::exchange(unannounced_, {})};
  for (const auto& [entry, link] : entry_links_) Send(link, accepted);
}

// Agents have stopped the runs of these jobs. Their callers may have sent them
// to another entry, which starts them once this one has been silent for
// `kWorkerLostTimeout`.
void StepEntryNode::AbandonJobsAfterStandstill(TimePoint now) {
  const TimePoint last_active = std::exchange(last_active_, now);
  if (started_at_ == TimePoint::Never()) BeginStart(now);
  if (last_active == TimePoint::Never()) return;
  const bool was_silent = last_peer_heartbeat_ != TimePoint::Never() &&
                          now - last_peer_heartbeat_ >= kMaxPeerSilence;
  if (now - last_active < kMaxStandstill && !was_silent) return;
  last_peer_heartbeat_ = now;
  const std::size_t abandoned = scheduler_.AbandonOpenJobs(
      "the entry stood still and another may have taken the job over", now);
  CollectActions(now);
  // What the others sent meanwhile has not been read yet.
  for (auto& [entry, heard] : entry_heard_) heard = now;
  // Links that were not up yet are not known to be unread.
  if (IsStarting(last_active)) BeginStart(now);
  standstill_end_ = now;
  for (const auto& [entry, link] : entry_links_) unread_entries_.insert(entry);
  std::vector<StepJobId> known;
  for (const auto& [job, state] : known_jobs_) known.push_back(job);
  for (const StepJobId& job : known) KeepKnownJob(job, now);
  RestartQueries(now);
  Log(LogLevel::kWarning, "stood_still",
      {{"standstill_ms", std::to_string((now - last_active).ms())},
       {"abandoned_jobs", std::to_string(abandoned)}});
}

}  // namespace geranium
