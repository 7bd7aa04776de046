#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

namespace geranium {
namespace {

/// An unanswered handover request is sent again after this long.
constexpr Duration kHandoverRetryInterval{300};

}  // namespace

bool StepEntryNode::RequestHandover(const StepJobId& job, TimePoint now) {
  const auto found = remote_jobs_.find(job);
  if (found == remote_jobs_.end()) return false;
  const Incarnation entry = found->second.entry;
  const auto last_heard = entry_heard_.find(entry);
  const bool is_lost =
      last_heard == entry_heard_.end() ||
      now - last_heard->second > StepScheduler::kWorkerLostTimeout;
  if (is_lost) return false;
  handovers_[job] = Handover{entry, now};
  if (const auto link = LinkOf(entry)) Send(*link, JobHandoverRequest{job});
  Log(LogLevel::kInfo, "job_sent_again",
      {{"job", job.value()}, {"held_by", ToString(entry)}});
  return true;
}

void StepEntryNode::On(LinkId link, const JobsAccepted& accepted,
                       TimePoint now) {
  const Peer& peer = peers_[link];
  if (!peer.hello) return;
  for (const StepJobId& job : accepted.jobs) {
    remote_jobs_[job] = RemoteJob{peer.hello->incarnation, now};
    remote_job_expiry_.emplace(now + kRemoteJobRetention, job);
  }
}

void StepEntryNode::On(LinkId link, const JobHandoverRequest& request,
                       TimePoint now) {
  handover_requesters_[request.job].push_back(link);
  scheduler_.Relinquish(request.job, now);
  Log(LogLevel::kInfo, "job_handover_asked", {{"job", request.job.value()}});
}

void StepEntryNode::On(LinkId /*link*/, const JobHandedOver& handed,
                       TimePoint now) {
  if (handovers_.erase(handed.job) == 0) return;
  scheduler_.Release(handed.job, now);
}

// An entry that was killed, froze or lost its machine sends no heartbeats to
// its agents either, so its runs end within the timeout for a lost worker. One
// that is cut off from this entry alone still sends them: if it has not noticed
// that its caller disconnected, a task may run at both (docs/PLATFORM.md).
void StepEntryNode::CheckHandovers(TimePoint now) {
  std::vector<StepJobId> ended;
  for (auto& [job, handover] : handovers_) {
    if (handover.from == options_.incarnation) continue;
    const std::optional<LinkId> link = LinkOf(handover.from);
    const Duration silence = now - entry_heard_[handover.from];
    if (silence > StepScheduler::kWorkerLostTimeout) {
      ended.push_back(job);
    } else if (link && now - handover.requested_at > kHandoverRetryInterval) {
      // The request or its answer was lost with a previous link.
      handover.requested_at = now;
      Send(*link, JobHandoverRequest{job});
    }
  }
  for (const StepJobId& job : ended) {
    handovers_.erase(job);
    scheduler_.Release(job, now);
  }
}

void StepEntryNode::NotifyHandoverRequesters(TimePoint now) {
  for (const StepJobId& job : scheduler_.TakeRelinquished()) {
    const auto own = handovers_.find(job);
    if (own != handovers_.end() && own->second.from == options_.incarnation) {
      handovers_.erase(own);
      scheduler_.Release(job, now);
    }
    const auto requesters = handover_requesters_.find(job);
    if (requesters == handover_requesters_.end()) continue;
    for (const LinkId link : requesters->second) {
      if (peers_.contains(link)) Send(link, JobHandedOver{job});
    }
    handover_requesters_.erase(requesters);
  }
}

void StepEntryNode::AnnounceJobs() {
  if (unannounced_.empty()) return;
  const JobsAccepted accepted{std::exchange(unannounced_, {})};
  for (const auto& [entry, link] : entry_links_) Send(link, accepted);
}

}  // namespace geranium
