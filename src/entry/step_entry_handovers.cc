#include <algorithm>
#include <utility>

#include "entry/step_entry_node.h"

namespace geranium {
namespace {

/// A handover that was not answered is asked for again after this long.
constexpr Duration kAskAgain{300};

}  // namespace

bool StepEntryNode::AskForHandover(const StepJobId& job, TimePoint now) {
  const auto found = elsewhere_.find(job);
  if (found == elsewhere_.end()) return false;
  const Incarnation entry = found->second.entry;
  const auto heard = entry_heard_.find(entry);
  const bool long_gone =
      heard == entry_heard_.end() || now - heard->second > StepScheduler::kLost;
  if (long_gone) return false;
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
    elsewhere_[job] = Elsewhere{peer.hello->incarnation, now};
    elsewhere_expiry_.emplace(now + kRememberJobs, job);
  }
}

void StepEntryNode::On(LinkId link, const JobHandoverRequest& request,
                       TimePoint now) {
  handover_askers_[request.job].push_back(link);
  scheduler_.GiveUp(request.job, now);
  Log(LogLevel::kInfo, "job_handover_asked", {{"job", request.job.value()}});
}

void StepEntryNode::On(LinkId /*link*/, const JobHandedOver& handed,
                       TimePoint now) {
  if (handovers_.erase(handed.job) == 0) return;
  scheduler_.Release(handed.job, now);
}

// An entry that was killed, froze or lost its machine cannot prove itself to
// its agents either, so its runs have ended after the same time as those of a
// lost worker. One that is cut off from this entry alone still can: if its
// caller has left it without its noticing, a task may run at both
// (docs/PLATFORM.md).
void StepEntryNode::EndHandovers(TimePoint now) {
  std::vector<StepJobId> over;
  for (auto& [job, handover] : handovers_) {
    if (handover.from == options_.incarnation) continue;
    const std::optional<LinkId> link = LinkOf(handover.from);
    const Duration silence = now - entry_heard_[handover.from];
    if (silence > StepScheduler::kLost) {
      over.push_back(job);
    } else if (link && now - handover.asked > kAskAgain) {
      // The request or its answer was lost with an earlier link.
      handover.asked = now;
      Send(*link, JobHandoverRequest{job});
    }
  }
  for (const StepJobId& job : over) {
    handovers_.erase(job);
    scheduler_.Release(job, now);
  }
}

void StepEntryNode::TellGivenUp(TimePoint now) {
  for (const StepJobId& job : scheduler_.TakeGivenUp()) {
    const auto own = handovers_.find(job);
    if (own != handovers_.end() && own->second.from == options_.incarnation) {
      handovers_.erase(own);
      scheduler_.Release(job, now);
    }
    const auto askers = handover_askers_.find(job);
    if (askers == handover_askers_.end()) continue;
    for (const LinkId link : askers->second) {
      if (peers_.contains(link)) Send(link, JobHandedOver{job});
    }
    handover_askers_.erase(askers);
  }
}

void StepEntryNode::AnnounceJobs(TimePoint now) {
  if (unannounced_.empty() || now < next_announce_) return;
  next_announce_ = now + kAnnounceInterval;
  const JobsAccepted accepted{std::exchange(unannounced_, {})};
  for (const auto& [entry, link] : entry_links_) Send(link, accepted);
}

}  // namespace geranium
