#ifndef GERANIUM_WORKER_CAPACITY_HOLD_H_
#define GERANIUM_WORKER_CAPACITY_HOLD_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace geranium {

/// Decides which free cores of a worker are reported to one entry only: those
/// freed by its runs while more of its tasks wait. Nothing is reserved: an
/// order of another entry may use them.
class CapacityHold {
 public:
  /// Bounds on memory. A worker ends far fewer runs within the longest time of
  /// a hold, and has at most this many links (`agent.entry_links`).
  static constexpr std::size_t kMaxHolds = 1000;
  static constexpr std::size_t kMaxWaitingEntries = 1000;

  /// A hold lasts for `limit` at most; 0: nothing is held.
  explicit CapacityHold(Duration limit) : limit_(limit) {}

  /// An order was received: it uses the entry's oldest hold.
  void OnOrder(Incarnation entry, bool more_waiting, TimePoint now);
  /// Cores were freed by the end of a run; returns true if they are held.
  bool OnRunEnded(Incarnation entry, double cpu, TimePoint now);
  /// Forgets an entry whose link was lost or is being released. Returns true if
  /// cores were held for it.
  bool Drop(Incarnation entry);
  /// Reduces the holds to the cores that are still free, oldest first.
  void LimitTo(double free_cpu);
  /// Drops holds that have lasted for the limit; returns their number.
  std::size_t Expire(TimePoint now);

  /// Cores held for other entries, which a report to this one does not show.
  double HeldFrom(Incarnation entry, TimePoint now) const;
  /// The last moment of the oldest hold.
  std::optional<TimePoint> next_expiry() const;

 private:
  struct Hold {
    Incarnation entry;
    double cpu = 0;
    TimePoint until;
  };

  Duration limit_;
  std::set<Incarnation> waiting_;  ///< Whose newest order said so.
  std::deque<Hold> holds_;         ///< Oldest first.
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_CAPACITY_HOLD_H_
