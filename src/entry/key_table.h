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

/// A job's claim of an idempotency key.
struct KeyClaim {
  IdempotencyKey key;
  JobId job;
  std::uint64_t fingerprint = 0;
};

/// The body of a record on the claims stream.
std::string EncodeClaims(const std::vector<KeyClaim>& claims);
Result<std::vector<KeyClaim>> DecodeClaims(const std::string& body);

struct KeyTableOptions {
  Incarnation incarnation;
  Duration window{600'000};      ///< How long a key is remembered.
  Duration claim_timeout{5000};  ///< How long a submission waits for its claim.
  Duration freshness{3000};      ///< Without a read for longer, it is out.
};

/// Callers' own keys. Claims are records on the log, many in one append; of
/// two claims of one key, the one at the lower offset wins, for every reader.
/// A claim is decided when it is read, so an append whose answer was lost is
/// decided like any other, and may be sent again.
class KeyTable {
 public:
  struct Decision {
    JobId job;
    KeyClaim holder;      ///< The claim that has the key.
    bool decided = true;  ///< False if the claim's time ran out.
  };

  KeyTable(KeyTableOptions options, Random& random)
      : options_(options), random_(random) {}

  /// Folds a batch read from `position()` on by a request sent at `sent_at`.
  void Read(const LogBatch& batch, TimePoint sent_at, TimePoint now);
  LogOffset position() const { return position_; }

  /// True if the claims could not be read for a while, so that a claim would
  /// not be decided in time.
  bool IsLogUnavailable(TimePoint now) const;

  /// Who holds the key; none if it is free.
  const KeyClaim* Find(const IdempotencyKey& key) const;

  /// Asks for a claim; the decision comes with `TakeDecisions`.
  void Claim(const KeyClaim& claim, TimePoint now);

  /// The next append, if there is something to claim and none is under way.
  std::optional<AppendRecord> NextAppend(TimePoint now);
  /// The append was answered; `applied` is false if that is not known.
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
