#include "data_centre/freshness.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace geranium {

void Freshness::Confirm(TimePoint sent_at) {
  confirmed_ = std::max(confirmed_, sent_at);
}

void Freshness::RecordPeerConfirmation(const std::string& peer,
                                       TimePoint sent_at) {
  Peer& peer_state = peers_[peer];
  peer_state.confirmed_at = std::max(peer_state.confirmed_at, sent_at);
  peer_state.last_seen = std::max(peer_state.last_seen, sent_at);
}

void Freshness::AddPeer(const std::string& peer, TimePoint now) {
  Peer& peer_state = peers_[peer];
  peer_state.last_seen = std::max(peer_state.last_seen, now);
}

void Freshness::RemovePeer(const std::string& peer) { peers_.erase(peer); }

TimePoint Freshness::ConfirmedAt(TimePoint now) const {
  if (rule_ == LogOutageRule::kStop) return confirmed_;
  // Computing the majority takes time proportional to the number of peers and
  // this runs for every message, so a recent confirmation by the log suffices.
  if (now - confirmed_ <= limit_ / 2) return confirmed_;
  return std::max(confirmed_, MajorityConfirmedAt(now));
}

// Unresponsive peers still count, so that a process cut off from the network
// does not form a majority on its own.
TimePoint Freshness::MajorityConfirmedAt(TimePoint now) const {
  std::vector<TimePoint> confirmed_times;
  for (const auto& [name, peer_state] : peers_) {
    if (now - peer_state.last_seen > kPeerRetention) continue;
    confirmed_times.push_back(peer_state.confirmed_at);
  }
  if (confirmed_times.empty()) return TimePoint::Never();
  const auto median = confirmed_times.begin() +
                      static_cast<std::ptrdiff_t>(confirmed_times.size() / 2);
  std::nth_element(confirmed_times.begin(), median, confirmed_times.end(),
                   std::greater<>());
  return *median;
}

std::optional<Duration> Freshness::Age(TimePoint now) const {
  const TimePoint confirmed = ConfirmedAt(now);
  if (confirmed == TimePoint::Never()) return std::nullopt;
  return now - confirmed;
}

}  // namespace geranium
