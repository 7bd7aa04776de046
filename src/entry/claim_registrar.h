#ifndef GERANIUM_ENTRY_CLAIM_REGISTRAR_H_
#define GERANIUM_ENTRY_CLAIM_REGISTRAR_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "entry/job_registrar.h"
#include "link/messages.h"

namespace geranium {

/// Answers the claims that entries make to one process. Performs no I/O.
class ClaimRegistrar {
 public:
  /// The claims of an entry that was not heard from for this long are ended:
  /// by then the runs that the entry gave up have been stopped, or their agents
  /// have taken it for lost.
  static constexpr Duration kClaimExpiry{2500};

  using Outbox = std::vector<std::pair<Incarnation, Message>>;

  /// Handles messages about claims, ignores others. `name` is the sender's.
  void OnMessage(Incarnation from, const std::string& name,
                 const Message& message, TimePoint now);
  /// To be called for each message of an entry.
  void OnHeard(Incarnation entry, TimePoint now) { heard_[entry] = now; }
  /// Grants nothing before it has run for `kClaimExpiry`, unless all `entries`
  /// have told that they knew no process before this one.
  void OnTick(const std::set<std::string>& entries, TimePoint now);
  /// Answers and notices, by receiver.
  Outbox TakeMessages() { return std::exchange(outbox_, {}); }

 private:
  void Register(Incarnation from, const ClaimJob& claim);
  void OnOpenClaims(Incarnation from, const OpenClaims& open);
  void TellGranted(const StepJobId& job);

  JobRegistrar jobs_;
  std::map<Incarnation, TimePoint> heard_;
  TimePoint last_tick_;
  TimePoint begun_ = TimePoint::Never();  ///< First tick.
  bool is_open_ = false;
  bool had_predecessor_ = false;
  std::set<std::string> told_by_;  ///< Entries that sent their open claims.
  Outbox outbox_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_CLAIM_REGISTRAR_H_
