#include "data_centre/route_follower.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

constexpr Duration kMinRetryDelay{50};
constexpr Duration kMaxRetryDelay{400};

}  // namespace

OperatorLogRequest RouteFollower::NextRequest() const {
  OperatorLogRequest request;
  request.kind = tailing_ ? OperatorLogRequest::Kind::kTail
                          : OperatorLogRequest::Kind::kNewest;
  request.after_key = after_key_;
  request.from = next_offset_;
  request.delay = retry_delay_;
  return request;
}

std::vector<LogMessage> RouteFollower::TakeLogMessages() {
  return std::exchange(log_messages_, {});
}

void RouteFollower::OnFailure(const Error& error) {
  if (!unreachable_) {
    log_messages_.push_back({LogLevel::kWarning,
                             "operator_log_unreachable",
                             {{"step", error.step},
                              {"peer", error.peer},
                              {"message", error.message}}});
  }
  unreachable_ = true;
  retry_delay_ = retry_delay_ == Duration(0)
                     ? kMinRetryDelay
                     : std::min(kMaxRetryDelay, retry_delay_ * 2);
}

void RouteFollower::OnSuccess() {
  if (unreachable_) {
    log_messages_.push_back({LogLevel::kInfo, "operator_log_reachable", {}});
  }
  unreachable_ = false;
  retry_delay_ = Duration(0);
}

// A listing may contain effects of records after the offset that it is given.
// When the tail reaches such a record, the table is returned again although it
// is the same: an entry that has a table of the listing's offset from elsewhere
// has ignored the listed one.
bool RouteFollower::Apply(const OperatorRecord& record) {
  if (const auto* table = std::get_if<RouteTable>(&record.content)) {
    if (table->version < table_.version) return false;
    const auto offset = table_.offset;
    table_ = *table;
    table_.offset = offset;
    return true;
  }
  if (const auto* change = std::get_if<DataCentreChange>(&record.content)) {
    if (change->out) {
      listed_data_centres_out_.insert(change->name);
      data_centres_out_.insert(change->name);
    } else {
      data_centres_out_.erase(change->name);
    }
    return true;
  }
  const auto& ignored = std::get<IgnoredRecord>(record.content);
  if (!ignored.reason.empty()) {
    log_messages_.push_back({LogLevel::kWarning,
                             "operator_record_ignored",
                             {{"key", ignored.key}, {"why", ignored.reason}}});
  }
  return false;
}

RouteTable RouteFollower::BuildTable() {
  table_.data_centres_out.assign(data_centres_out_.begin(),
                                 data_centres_out_.end());
  return table_;
}

// The pages are not a consistent snapshot, so tailing starts at the log's end
// as of the first page; applying a record twice is harmless.
std::optional<RouteTable> RouteFollower::OnNewest(
    const Result<NewestRecordPage>& page) {
  if (!page) {
    OnFailure(page.error());
    return std::nullopt;
  }
  OnSuccess();
  const NewestRecordPage& newest = page.value();
  if (after_key_.empty()) {
    next_offset_ = newest.end;
    listed_data_centres_out_.clear();
  }
  for (const OperatorRecord& record : newest.records) Apply(record);
  if (newest.has_more && !newest.last_key.empty()) {
    after_key_ = newest.last_key;
    return std::nullopt;
  }
  after_key_.clear();
  tailing_ = true;
  // A data centre that is not listed is back in service: its key was dropped.
  data_centres_out_ = listed_data_centres_out_;
  table_.offset = std::max(table_.offset, next_offset_);
  if (table_.version == 0) {
    // No routes are published yet; tailing the log returns them once they are.
    return std::nullopt;
  }
  return BuildTable();
}

std::optional<RouteTable> RouteFollower::OnTail(
    const Result<OperatorRecordBatch>& records) {
  if (!records) {
    OnFailure(records.error());
    return std::nullopt;
  }
  OnSuccess();
  if (records.value().expired) {
    tailing_ = false;
    log_messages_.push_back({LogLevel::kInfo, "operator_log_compacted", {}});
    return std::nullopt;
  }
  bool changed = false;
  for (const OperatorRecord& record : records.value().records) {
    if (record.offset < next_offset_) continue;
    next_offset_ = LogOffset(record.offset.value() + 1);
    changed = Apply(record) || changed;
  }
  table_.offset = std::max(table_.offset, next_offset_);
  if (!changed || table_.version == 0) return std::nullopt;
  return BuildTable();
}

}  // namespace geranium
