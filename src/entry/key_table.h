#ifndef GERANIUM_ENTRY_KEY_TABLE_H_
#define GERANIUM_ENTRY_KEY_TABLE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/random.h"
#include "contract/log.h"
#include "entry/actions.h"

namespace geranium {

/// A job's claim to an idempotency key.
struct KeyClaim {
  IdempotencyKey key;
  JobId job;
  std::uint64_t fingerprint = 0;
};

/// Encodes the body of a record on the claims stream.
std::string EncodeClaims(const std::vector<KeyClaim>& claims);
Result<std::vector<KeyClaim>> DecodeClaims(const std::string& body);

struct KeyTableOptions {
  Incarnation incarnation;
  Duration window{600'000};      ///< How long a key stays bound.
  Duration claim_timeout{5000};  ///< Limit on the wait for a decision.
  Duration freshness{3000};      ///< Longest time without a read.
};

/// Idempotency keys chosen by callers. Claims are batched into records on the
/// log; of two claims to one key, every reader takes the one at the lower
/// offset. A claim is decided when it is read back, so an append whose reply
/// was lost is decided like any other and may be resent.
class KeyTable {
 public:
  struct Decision {
    JobId job;
    KeyClaim holder;      ///< The winning claim.
    bool decided = true;  ///< False if the claim timed out.
  };

  KeyTable(KeyTableOptions options, Random& random)
      : options_(options), random_(random) {}

  /// Applies a batch read from `position()` on; the request left at `sent_at`.
  void Read(const LogBatch& batch, TimePoint sent_at, TimePoint now);
  LogOffset position() const { return position_; }

  /// True if the claims were not read within `freshness`; a new claim would
  /// likely time out.
  bool IsLogUnavailable(TimePoint now) const;

  /// The claim that holds the key; null if it is free.
  const KeyClaim* Find(const IdempotencyKey& key) const;

  /// Requests a claim; `TakeDecisions` returns the decision later.
  void Claim(const KeyClaim& claim, TimePoint now);

  /// The next append or resend, if one is due; one is in flight at a time.
  std::optional<AppendRecord> NextAppend(TimePoint now);
  /// An append ended; `applied` is false if its outcome is unknown.
  void OnAppendEnded(const RecordId& id, bool applied, TimePoint now);

  void OnTick(TimePoint now);
  std::vector<Decision> TakeDecisions();

  std::size_t size() const { return holders_.size(); }
  std::uint64_t appends() const { return appends_; }

 private:
  struct Holder {
    KeyClaim claim;
    TimePoint expires;
  };
  struct PendingClaim {
    KeyClaim claim;
    TimePoint until;
  };

  void ApplyClaim(const KeyClaim& claim, TimePoint appended, TimePoint now);

  KeyTableOptions options_;
  Random& random_;
  LogOffset position_{1};
  std::optional<TimePoint> started_at_;
  TimePoint last_confirmed_ = TimePoint::Never();
  std::unordered_map<IdempotencyKey, Holder> holders_;
  std::multimap<TimePoint, IdempotencyKey> expiry_;
  std::map<JobId, PendingClaim> pending_claims_;
  std::vector<JobId> unsent_jobs_;
  std::optional<AppendRecord> in_flight_;
  bool must_resend_ = false;
  TimePoint resend_at_;
  Duration resend_delay_;
  std::uint64_t appends_ = 0;
  std::vector<Decision> decisions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_KEY_TABLE_H_
