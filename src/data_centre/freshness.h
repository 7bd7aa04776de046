#ifndef GERANIUM_DATA_CENTRE_FRESHNESS_H_
#define GERANIUM_DATA_CENTRE_FRESHNESS_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace geranium {

/// What an entry relies on while the log service is unavailable.
enum class LogOutageRule {
  kMajority,  ///< More than half of the known entries and agents.
  kStop,      ///< Nothing: no grants until the log answers again.
};

/// Tracks until when a process's configuration was confirmed as the newest. All
/// times are by the process's own clock, and each is the time at which a
/// request was sent, so that a delayed answer does not confirm a later time.
class Freshness {
 public:
  /// No start is allowed once the newest confirmation is older than this.
  static constexpr Duration kDefaultLimit{3000};
  /// A peer that does not answer counts as known for this long.
  static constexpr Duration kPeerRetention{60'000};

  explicit Freshness(LogOutageRule rule, Duration limit = kDefaultLimit)
      : rule_(rule), limit_(limit) {}

  /// The log's tail was read by a request sent at `sent_at`, or a peer's
  /// configuration was itself confirmed at `sent_at` or later.
  void Confirm(TimePoint sent_at);

  /// The peer answered a message sent at `sent_at` and has no newer version.
  void RecordPeerConfirmation(const std::string& peer, TimePoint sent_at);

  /// Counts the peer as known, even if it never answers.
  void AddPeer(const std::string& peer, TimePoint now);

  /// The peer announced that it leaves for good.
  void RemovePeer(const std::string& peer);

  /// The latest time at which the configuration was known to be the newest,
  /// under the outage rule.
  TimePoint ConfirmedAt(TimePoint now) const;

  bool IsFresh(TimePoint now) const { return now - ConfirmedAt(now) <= limit_; }

  /// Time since the newest confirmation; none if there was none.
  std::optional<Duration> Age(TimePoint now) const;

  Duration limit() const { return limit_; }

 private:
  TimePoint MajorityConfirmedAt(TimePoint now) const;

  struct Peer {
    TimePoint confirmed_at = TimePoint::Never();
    TimePoint last_seen;
  };

  LogOutageRule rule_;
  Duration limit_;
  TimePoint confirmed_ = TimePoint::Never();
  std::map<std::string, Peer> peers_;
};

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_FRESHNESS_H_
