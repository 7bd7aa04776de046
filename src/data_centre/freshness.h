#ifndef GERANIUM_DATA_CENTRE_FRESHNESS_H_
#define GERANIUM_DATA_CENTRE_FRESHNESS_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace geranium {

/// What an entry may rely on while the log service is out.
enum class LogOutageRule {
  kMajority,  ///< More than half of the known entries and agents.
  kStop,      ///< Nothing: no grants until the log is back.
};

/// Up to when a process knows that its configuration was the newest. All
/// times are the process's own; each is the time at which a question was
/// sent, so that the delay of its answer never makes knowledge look newer.
class Freshness {
 public:
  /// No start is allowed on older knowledge than this.
  static constexpr Duration kDefaultLimit{3000};
  /// A process not heard of counts as known for this long.
  static constexpr Duration kPeerRetention{60'000};

  explicit Freshness(LogOutageRule rule, Duration limit = kDefaultLimit)
      : rule_(rule), limit_(limit) {}

  /// The log's tail was read by a request sent at `sent_at`, or a peer proved
  /// that its own knowledge was confirmed at `sent_at` or later.
  void Confirm(TimePoint sent_at);

  /// The peer answered a message sent at `sent_at` and has nothing newer.
  void RecordPeerConfirmation(const std::string& peer, TimePoint sent_at);

  /// Counts the peer as known though it may never have answered.
  void AddPeer(const std::string& peer, TimePoint now);

  /// The peer said that it leaves for good.
  void RemovePeer(const std::string& peer);

  /// The latest time at which the configuration was surely the newest, as far
  /// as the rule allows to say.
  TimePoint ConfirmedAt(TimePoint now) const;

  bool IsFresh(TimePoint now) const { return now - ConfirmedAt(now) <= limit_; }

  /// How old the knowledge is; none if there never was any.
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
