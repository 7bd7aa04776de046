#include "data_centre/route_follower.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

constexpr Duration kFirstPause{50};
constexpr Duration kLongestPause{400};

}  // namespace

LogStep RouteFollower::Next() const {
  LogStep step;
  step.kind = tailing_ ? LogStep::Kind::kTail : LogStep::Kind::kNewest;
  step.after_key = after_key_;
  step.from = next_;
  step.pause = pause_;
  return step;
}

std::vector<LogNote> RouteFollower::TakeNotes() {
  return std::exchange(notes_, {});
}

void RouteFollower::Fail(const Error& error) {
  if (!out_of_reach_) {
    notes_.push_back({LogLevel::kWarning,
                      "operator_log_lost",
                      {{"step", error.step},
                       {"peer", error.peer},
                       {"message", error.message}}});
  }
  out_of_reach_ = true;
  pause_ =
      pause_ == Duration(0) ? kFirstPause : std::min(kLongestPause, pause_ * 2);
}

void RouteFollower::Succeed() {
  if (out_of_reach_) {
    notes_.push_back({LogLevel::kInfo, "operator_log_regained", {}});
  }
  out_of_reach_ = false;
  pause_ = Duration(0);
}

bool RouteFollower::Fold(const OperatorRecord& record) {
  if (const auto* table = std::get_if<RouteTable>(&record.content)) {
    if (table->version < table_.version) return false;
    const auto folded = table_.offset;
    table_ = *table;
    table_.offset = folded;
    return true;
  }
  if (const auto* change = std::get_if<DataCentreChange>(&record.content)) {
    if (change->out) {
      out_of_pages_.insert(change->name);
      return out_.insert(change->name).second;
    }
    return out_.erase(change->name) > 0;
  }
  const auto& ignored = std::get<IgnoredRecord>(record.content);
  if (!ignored.why.empty()) {
    notes_.push_back({LogLevel::kWarning,
                      "operator_record_ignored",
                      {{"key", ignored.key}, {"why", ignored.why}}});
  }
  return false;
}

RouteTable RouteFollower::Build() {
  table_.data_centres_out.assign(out_.begin(), out_.end());
  return table_;
}

// Pages are no snapshot, so the log is followed from the end as it was at the
// first page; a record that is folded twice does no harm.
std::optional<RouteTable> RouteFollower::OnNewest(
    const Result<NewestRecords>& page) {
  if (!page) {
    Fail(page.error());
    return std::nullopt;
  }
  Succeed();
  const NewestRecords& newest = page.value();
  if (after_key_.empty()) {
    next_ = newest.end;
    out_of_pages_.clear();
  }
  for (const OperatorRecord& record : newest.records) Fold(record);
  if (newest.has_more && !newest.last_key.empty()) {
    after_key_ = newest.last_key;
    return std::nullopt;
  }
  after_key_.clear();
  tailing_ = true;
  // A key that is not listed has been dropped.
  out_ = out_of_pages_;
  table_.offset = std::max(table_.offset, next_);
  if (table_.version == 0) {
    // Nothing is published yet; a waiting read tells when it is.
    return std::nullopt;
  }
  return Build();
}

std::optional<RouteTable> RouteFollower::OnTail(
    const Result<OperatorRecords>& records) {
  if (!records) {
    Fail(records.error());
    return std::nullopt;
  }
  Succeed();
  if (records.value().expired) {
    tailing_ = false;
    notes_.push_back({LogLevel::kInfo, "operator_log_compacted", {}});
    return std::nullopt;
  }
  bool changed = false;
  for (const OperatorRecord& record : records.value().records) {
    if (record.offset < next_) continue;
    next_ = LogOffset(record.offset.value() + 1);
    changed = Fold(record) || changed;
  }
  table_.offset = std::max(table_.offset, next_);
  if (!changed || table_.version == 0) return std::nullopt;
  return Build();
}

}  // namespace geranium
