#include "data_centre/freshness.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace geranium {

void Freshness::Confirm(TimePoint sent_at) {
  confirmed_ = std::max(confirmed_, sent_at);
}

void Freshness::HeardFrom(const std::string& peer, TimePoint sent_at) {
  Member& member = members_[peer];
  member.heard = std::max(member.heard, sent_at);
  member.known = std::max(member.known, sent_at);
}

void Freshness::Know(const std::string& peer, TimePoint now) {
  Member& member = members_[peer];
  member.known = std::max(member.known, now);
}

void Freshness::Forget(const std::string& peer) { members_.erase(peer); }

TimePoint Freshness::ConfirmedAt(TimePoint now) const {
  if (rule_ == LogOutageRule::kStop) return confirmed_;
  // The majority is asked only when the log does not do, since its cost grows
  // with the members and this is asked for every message.
  if (now - confirmed_ <= limit_ / 2) return confirmed_;
  return std::max(confirmed_, MajorityAt(now));
}

// Members that fell silent stay in the count, so that a process that is cut off
// does not become a majority of itself.
TimePoint Freshness::MajorityAt(TimePoint now) const {
  std::vector<TimePoint> heard;
  for (const auto& [name, member] : members_) {
    if (now - member.known > kMemberRetention) continue;
    heard.push_back(member.heard);
  }
  if (heard.empty()) return TimePoint::Never();
  const auto middle =
      heard.begin() + static_cast<std::ptrdiff_t>(heard.size() / 2);
  std::nth_element(heard.begin(), middle, heard.end(), std::greater<>());
  return *middle;
}

std::optional<Duration> Freshness::Age(TimePoint now) const {
  const TimePoint confirmed = ConfirmedAt(now);
  if (confirmed == TimePoint::Never()) return std::nullopt;
  return now - confirmed;
}

}  // namespace geranium
