#include "entry/key_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace geranium {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostClaimsPerAppend = 512;
constexpr Duration kFirstResend{50};
constexpr Duration kLongestResend{2000};

}  // namespace

std::string EncodeClaims(const std::vector<KeyClaim>& claims) {
  Json items = Json::array();
  for (const KeyClaim& claim : claims) {
    items.push_back({claim.key.value(), claim.job.entry.value(),
                     claim.job.number, claim.fingerprint});
  }
  return Json{{"claims", std::move(items)}}.dump();
}

Result<std::vector<KeyClaim>> DecodeClaims(const std::string& body) {
  try {
    std::vector<KeyClaim> claims;
    const Json record = Json::parse(body);
    for (const Json& item : record.at("claims")) {
      KeyClaim claim;
      claim.key = IdempotencyKey(item.at(0).get<std::string>());
      claim.job.entry = Incarnation(item.at(1).get<std::uint64_t>());
      claim.job.number = item.at(2).get<std::uint64_t>();
      claim.fingerprint = item.at(3).get<std::uint64_t>();
      claims.push_back(std::move(claim));
    }
    return claims;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kMalformed, "decode claims", "log", error.what(),
                 Execution::kNotRun};
  }
}

void KeyTable::Read(const LogBatch& batch, TimePoint sent_at, TimePoint now) {
  // What was dropped by retention is older than the window, by the settings.
  position_ = std::max(position_, batch.first);
  for (const LogRecord& record : batch.records) {
    if (record.offset != position_) continue;
    position_ = LogOffset(position_.value() + 1);
    const auto claims = DecodeClaims(record.body);
    if (!claims) continue;
    for (const KeyClaim& claim : claims.value()) {
      Fold(claim, now - record.age, now);
    }
  }
  if (position_ >= batch.next) confirmed_ = std::max(confirmed_, sent_at);
}

void KeyTable::Fold(const KeyClaim& claim, TimePoint appended, TimePoint now) {
  const TimePoint expires = appended + options_.window;
  if (expires <= now && !wanted_.contains(claim.job)) return;
  const auto [found, is_free] =
      holders_.try_emplace(claim.key, Holder{claim, expires});
  if (is_free) expiry_.emplace(expires, claim.key);
  const auto wanted = wanted_.find(claim.job);
  if (wanted == wanted_.end()) return;
  decisions_.push_back({claim.job, found->second.claim, true});
  wanted_.erase(wanted);
}

bool KeyTable::IsOut(TimePoint now) const {
  const TimePoint since = std::max(confirmed_, began_.value_or(now));
  return now - since > options_.freshness;
}

const KeyClaim* KeyTable::Find(const IdempotencyKey& key) const {
  const auto found = holders_.find(key);
  return found == holders_.end() ? nullptr : &found->second.claim;
}

void KeyTable::Claim(const KeyClaim& claim, TimePoint now) {
  wanted_[claim.job] = Wanted{claim, now + options_.claim_timeout};
  unsent_.push_back(claim.job);
}

std::optional<AppendRecord> KeyTable::NextAppend(TimePoint now) {
  if (in_flight_) {
    if (!must_resend_ || now < resend_at_) return std::nullopt;
    must_resend_ = false;
    ++appends_;
    return in_flight_;
  }
  std::vector<KeyClaim> claims;
  std::size_t taken = 0;
  while (taken < unsent_.size() && claims.size() < kMostClaimsPerAppend) {
    const auto found = wanted_.find(unsent_[taken++]);
    if (found != wanted_.end()) claims.push_back(found->second.claim);
  }
  unsent_.erase(unsent_.begin(),
                unsent_.begin() + static_cast<std::ptrdiff_t>(taken));
  if (claims.empty()) return std::nullopt;
  AppendRecord record;
  record.stream = LogStream::kClaims;
  record.id = RecordId("claims-" + ToString(claims.front().job));
  record.body = EncodeClaims(claims);
  in_flight_ = record;
  must_resend_ = false;
  resend_wait_ = kFirstResend;
  ++appends_;
  return record;
}

// The same claims sent twice change nothing: both are of the same jobs.
void KeyTable::OnAppendEnded(const RecordId& id, bool applied, TimePoint now) {
  if (!in_flight_ || in_flight_->id != id) return;
  if (applied) {
    in_flight_.reset();
    return;
  }
  must_resend_ = true;
  resend_at_ = now + random_.Jitter(resend_wait_);
  resend_wait_ = std::min(kLongestResend, resend_wait_ * 2);
}

void KeyTable::OnTick(TimePoint now) {
  if (!began_) began_ = now;
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    holders_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  for (auto item = wanted_.begin(); item != wanted_.end();) {
    if (item->second.until > now) {
      ++item;
      continue;
    }
    decisions_.push_back({item->first, item->second.claim, false});
    item = wanted_.erase(item);
  }
  // Nobody waits any more for what could not be appended.
  if (wanted_.empty() && must_resend_) in_flight_.reset();
}

std::vector<KeyTable::Decision> KeyTable::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace geranium
