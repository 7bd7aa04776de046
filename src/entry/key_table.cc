#include "entry/key_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace geranium {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxClaimsPerAppend = 512;
constexpr Duration kInitialResendDelay{50};
constexpr Duration kMaxResendDelay{2000};

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
  // Records dropped by retention are older than the key window, by settings.
  position_ = std::max(position_, batch.first);
  for (const LogRecord& record : batch.records) {
    if (record.offset != position_) continue;
    position_ = LogOffset(position_.value() + 1);
    const auto claims = DecodeClaims(record.body);
    if (!claims) continue;
    for (const KeyClaim& claim : claims.value()) {
      ApplyClaim(claim, now - record.age, now);
    }
  }
  if (position_ >= batch.next)
    last_confirmed_ = std::max(last_confirmed_, sent_at);
}

void KeyTable::ApplyClaim(const KeyClaim& claim, TimePoint appended,
                          TimePoint now) {
  const TimePoint expires = appended + options_.window;
  if (expires <= now && !pending_claims_.contains(claim.job)) return;
  const auto [found, is_free] =
      holders_.try_emplace(claim.key, Holder{claim, expires});
  if (is_free) expiry_.emplace(expires, claim.key);
  const auto pending = pending_claims_.find(claim.job);
  if (pending == pending_claims_.end()) return;
  decisions_.push_back({claim.job, found->second.claim, true});
  pending_claims_.erase(pending);
}

bool KeyTable::IsLogUnavailable(TimePoint now) const {
  const TimePoint since = std::max(last_confirmed_, started_at_.value_or(now));
  return now - since > options_.freshness;
}

const KeyClaim* KeyTable::Find(const IdempotencyKey& key) const {
  const auto found = holders_.find(key);
  return found == holders_.end() ? nullptr : &found->second.claim;
}

void KeyTable::Claim(const KeyClaim& claim, TimePoint now) {
  pending_claims_[claim.job] =
      PendingClaim{claim, now + options_.claim_timeout};
  unsent_jobs_.push_back(claim.job);
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
  while (taken < unsent_jobs_.size() && claims.size() < kMaxClaimsPerAppend) {
    const auto found = pending_claims_.find(unsent_jobs_[taken++]);
    if (found != pending_claims_.end()) claims.push_back(found->second.claim);
  }
  unsent_jobs_.erase(unsent_jobs_.begin(),
                     unsent_jobs_.begin() + static_cast<std::ptrdiff_t>(taken));
  if (claims.empty()) return std::nullopt;
  AppendRecord record;
  record.stream = LogStream::kClaims;
  record.id = RecordId("claims-" + ToString(claims.front().job));
  record.body = EncodeClaims(claims);
  in_flight_ = record;
  must_resend_ = false;
  resend_delay_ = kInitialResendDelay;
  ++appends_;
  return record;
}

// Resending is idempotent: a repeated claim names the same job.
void KeyTable::OnAppendEnded(const RecordId& id, bool applied, TimePoint now) {
  if (!in_flight_ || in_flight_->id != id) return;
  if (applied) {
    in_flight_.reset();
    return;
  }
  must_resend_ = true;
  resend_at_ = now + random_.Jitter(resend_delay_);
  resend_delay_ = std::min(kMaxResendDelay, resend_delay_ * 2);
}

void KeyTable::OnTick(TimePoint now) {
  if (!started_at_) started_at_ = now;
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    holders_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  for (auto item = pending_claims_.begin(); item != pending_claims_.end();) {
    if (item->second.until > now) {
      ++item;
      continue;
    }
    decisions_.push_back({item->first, item->second.claim, false});
    item = pending_claims_.erase(item);
  }
  // All claims of the failed append were decided or timed out; don't resend.
  if (pending_claims_.empty() && must_resend_) in_flight_.reset();
}

std::vector<KeyTable::Decision> KeyTable::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace geranium
