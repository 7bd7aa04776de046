#include <utility>

#include "entry/step_entry_node.h"

namespace geranium {

void StepEntryNode::On(LinkId link, const Heartbeat& heartbeat, TimePoint now) {
  Peer& peer = peers_[link];
  const bool from_entry = peer.hello && peer.hello->role == ProcessRole::kEntry;
  // An entry that has just been linked, or stood still, waits for the echo.
  const bool awaits_echo =
      from_entry && (!peer.newest_sent_at ||
                     heartbeat.sent_at - *peer.newest_sent_at > kMaxStandstill);
  peer.newest_sent_at = heartbeat.sent_at;
  if (peer.hello && heartbeat.echo) OnHeardByOthers(*heartbeat.echo, now);
  if (awaits_echo) SendHeartbeat(link, peer, now);
  // Sent after all that it had sent before.
  if (peer.hello && heartbeat.echo && *heartbeat.echo >= standstill_end_) {
    unread_entries_.erase(peer.hello->incarnation);
  }
  const bool behind = heartbeat.version.value() > table_.offset.value();
  if (!from_entry || !behind || peer.pull_sent) return;
  peer.pull_sent = true;
  Send(link, RouteTablePull{table_.offset});
}

void StepEntryNode::SendHeartbeat(LinkId link, Peer& peer, TimePoint now) {
  peer.last_echoed = peer.newest_sent_at;
  peer.heartbeat_sent_at = now;
  for (const TaskEndAck& ack : std::exchange(peer.acknowledgements, {})) {
    Send(link, ack);
  }
  Send(link, Heartbeat{now, peer.newest_sent_at, Version(table_.offset.value()),
                       std::nullopt, std::nullopt});
}

// An agent that just got a heartbeat with an order gets the next one later.
void StepEntryNode::SendHeartbeats(TimePoint now) {
  const bool to_agents = now >= next_heartbeat_;
  const bool to_entries = now >= next_peer_heartbeat_;
  if (to_agents) next_heartbeat_ = now + kHeartbeatInterval;
  if (to_entries) {
    next_peer_heartbeat_ = now + kPeerHeartbeatInterval;
    last_peer_heartbeat_ = now;
    ReannounceJobs(now);
  }
  if (to_entries || now >= next_announcement_) AnnounceJobs(now);
  for (auto& [link, peer] : peers_) {
    const bool is_entry = peer.hello && peer.hello->role == ProcessRole::kEntry;
    if (is_entry ? !to_entries : !to_agents) continue;
    peer.pull_sent = false;
    const bool sent_recently =
        !is_entry && now - peer.heartbeat_sent_at < kHeartbeatInterval / 2;
    if (!sent_recently) SendHeartbeat(link, peer, now);
  }
}

void StepEntryNode::CloseSilentLinks(TimePoint now) {
  for (auto& [link, peer] : peers_) {
    if (now - peer.last_heard <= kLinkTimeout) continue;
    peer.last_heard = now;
    actions_.emplace_back(CloseLink{link});
  }
}

}  // namespace geranium
