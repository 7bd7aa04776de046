#ifndef GERANIUM_BASE_EVENTS_H_
#define GERANIUM_BASE_EVENTS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace geranium {

/// Kinds of events. The steps of an attempt are listed in causal order, on
/// which the timeline relies.
enum class EventKind {
  kSubmitted,
  kOfferSent,
  kOfferReceived,
  kReadySent,
  kReadyReceived,
  kGrantSent,
  kGrantReceived,
  kCallStarted,
  kCallEnded,
  kResultReceived,
  kAnswered,
  kRefused,
  kNotStarted,
  kInDoubt,
  kLinkUp,
  kLinkDown,
  kConfiguration,
  kFreshness,
  kHealth,
  kLeaving,
};

std::string_view Name(EventKind kind);

/// One entry of a process's event stream.
struct Event {
  std::uint64_t sequence = 0;
  TimePoint at;
  EventKind kind = EventKind::kSubmitted;
  std::optional<JobId> job;
  std::optional<AttemptId> attempt;
  std::string peer;
  std::string detail;
};

/// The newest events of a process; older ones are dropped.
class EventRing {
 public:
  explicit EventRing(std::size_t capacity = kDefaultCapacity)
      : capacity_(capacity) {}

  void Add(Event event);

  /// Events with a sequence number above `after`, oldest first.
  std::vector<Event> After(std::uint64_t after) const;

 private:
  static constexpr std::size_t kDefaultCapacity = 8192;

  std::size_t capacity_;
  std::uint64_t next_sequence_ = 1;
  std::deque<Event> events_;
};

}  // namespace geranium

#endif  // GERANIUM_BASE_EVENTS_H_
