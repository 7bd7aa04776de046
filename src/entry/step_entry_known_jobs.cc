#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

// What an entry knows of the jobs that others have open, and tells them of its
// own.

namespace geranium {
namespace {

/// Jobs listed by one message, so that all frames are small.
constexpr std::size_t kMaxListedJobs = 1000;
/// Cancelled jobs of which an entry is told when it is linked. Many entries may
/// be linked at once.
constexpr std::size_t kMaxCancelledJobsTold = 10'000;

}  // namespace

void StepEntryNode::On(LinkId link, const JobsAccepted& accepted,
                       TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  const Incarnation entry = peer.hello->incarnation;
  for (const StepJobId& job : accepted.jobs) {
    std::vector<Incarnation>& holders = known_jobs_.Keep(job, now).holders;
    std::erase(holders, entry);
    holders.push_back(entry);
    OnOtherHolder(job, entry, now);
  }
}

template <class Jobs>
void StepEntryNode::SendJobs(LinkId link, const std::vector<StepJobId>& jobs) {
  for (std::size_t first = 0; first < jobs.size(); first += kMaxListedJobs) {
    const auto begin = jobs.begin() + static_cast<std::ptrdiff_t>(first);
    const std::size_t count = std::min(kMaxListedJobs, jobs.size() - first);
    Send(link, Jobs{{begin, begin + static_cast<std::ptrdiff_t>(count)}});
  }
}

// A new process knows of no cancellation, and one that was cut off has missed
// some. Copies of the requests that were cancelled last are most likely still
// on their way.
void StepEntryNode::SendCancelledJobs(LinkId link) {
  std::vector<StepJobId> jobs;
  const std::size_t known = cancelled_jobs_.size();
  std::size_t skipped = known - std::min(known, kMaxCancelledJobsTold);
  cancelled_jobs_.ForEach([&](const StepJobId& job, const CancelledJob&) {
    if (skipped > 0) {
      --skipped;
    } else {
      jobs.push_back(job);
    }
  });
  SendJobs<JobsCancelled>(link, jobs);
}

// Announcements may have been lost with an earlier link.
void StepEntryNode::SendOpenJobs(LinkId link, TimePoint now) {
  SendJobs<JobsAccepted>(link, scheduler_.OpenJobs(now));
}

// The others forget an announced job after a while, in which most jobs end.
void StepEntryNode::ReannounceJobs(TimePoint now) {
  if (now < next_reannouncement_) return;
  next_reannouncement_ = now + kReannounceInterval;
  // One that is cut off cannot announce its open jobs.
  if (IsAnyCutOff(now)) known_jobs_.KeepAll(now);
  for (const StepJobId& job : scheduler_.OpenJobs(now - kReannounceInterval)) {
    unannounced_.push_back(job);
  }
}

void StepEntryNode::AnnounceJobs(TimePoint now) {
  if (unannounced_.empty()) return;
  next_announcement_ = now + kAnnouncementSpacing *
                                 static_cast<std::int64_t>(entry_links_.size());
  const std::vector<StepJobId> jobs = std::exchange(unannounced_, {});
  for (const auto& [entry, link] : entry_links_) {
    SendJobs<JobsAccepted>(link, jobs);
  }
}

void StepEntryNode::AbandonLostJobs(TimePoint now) {
  AbandonJobsAfterStandstill(now);
  AbandonJobsIfUnheard(now);
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
  heard_by_others_at_ = now;
  const std::size_t abandoned = scheduler_.AbandonOpenJobs(
      "the entry stood still and another may have taken the job over", now);
  CollectActions(now);
  // Links that were not up yet are not known to be unread.
  if (IsStarting(last_active)) BeginStart(now);
  CatchUp(now);
  Log(LogLevel::kWarning, "stood_still",
      {{"standstill_ms", std::to_string((now - last_active).ms())},
       {"abandoned_jobs", std::to_string(abandoned)}});
}

// What the others sent meanwhile has not been read yet, and their silence says
// nothing.
void StepEntryNode::CatchUp(TimePoint now) {
  for (auto& [entry, heard] : entry_heard_) heard = now;
  standstill_end_ = now;
  for (const auto& [entry, link] : entry_links_) unread_entries_.insert(entry);
  known_jobs_.KeepAll(now);
  cancelled_jobs_.KeepAll(now);
  RestartQueries(now);
}

}  // namespace geranium
