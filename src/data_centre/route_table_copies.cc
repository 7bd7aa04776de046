#include "data_centre/route_table_copies.h"

#include <utility>

#include "link/codec.h"

namespace geranium {
namespace {

/// Length of a record, length of its key, and the key.
constexpr std::size_t kRecordOverhead = 16;
constexpr std::size_t kMaxValueBytes =
    RouteTableCopies::kMaxRecordBytes - kRecordOverhead;

std::string Encode(const RouteTable& table) {
  return EncodeFrame({RouteTablePush{table}});
}

std::string EncodeContent(RouteTable table) {
  table.offset = LogOffset();
  return Encode(table);
}

Result<RouteTable> Decode(const std::string& value) {
  const auto error = [](const std::string& message) {
    return Error{ErrorCode::kMalformed, "decode a copy of the route table", "",
                 message, Execution::kNotRun};
  };
  if (value.size() > kMaxValueBytes) {
    return error(std::to_string(value.size()) + " bytes are too many");
  }
  BOOST_OUTCOME_TRY(frame, DecodeFrame(value));
  auto* push =
      frame.size() == 1 ? std::get_if<RouteTablePush>(&frame[0]) : nullptr;
  if (push == nullptr || push->table.version == 0) {
    return error("not a route table");
  }
  return std::move(push->table);
}

}  // namespace

// Partition 0 is the number of the operator's; a partition may become
// unavailable by its number.
RouteTableCopies::RouteTableCopies(int copies) {
  for (int i = 1; i <= copies; ++i) partitions_.emplace_back().number = i;
}

std::vector<LogMessage> RouteTableCopies::TakeLogMessages() {
  return std::exchange(log_messages_, {});
}

void RouteTableCopies::Log(LogLevel level, const std::string& event,
                           LogFields fields) {
  log_messages_.push_back({level, event, std::move(fields)});
}

RouteTableCopies::Partition& RouteTableCopies::Find(int partition) {
  return partitions_.at(static_cast<std::size_t>(partition - 1));
}

// A change is visible at all entries at once. Links that are just coming up
// have the delay to make known which entry has the lowest incarnation.
void RouteTableCopies::OnOperatorTable(const RouteTable& table, TimePoint now) {
  if (partitions_.empty() || table.offset <= value_offset_) return;
  pending_ = table;
  pending_since_ = now;
}

// The log is listed anew after its compaction, with a higher offset and the
// same table. Writes are priced, so only a different table is written.
void RouteTableCopies::BeginWrites(TimePoint now) {
  const RouteTable table = *std::exchange(pending_, std::nullopt);
  std::string content = EncodeContent(table);
  if (content == written_content_) return;
  written_content_ = std::move(content);
  value_ = Encode(table);
  value_offset_ = table.offset;
  if (value_.size() > kMaxValueBytes) {
    ++counters_.failed_writes;
    Log(LogLevel::kWarning, "route_table_too_large_to_copy",
        {{"version", std::to_string(table.version)},
         {"bytes", std::to_string(value_.size())}});
    return;
  }
  for (Partition& partition : partitions_) {
    partition.is_write_due = true;
    partition.is_retry = false;
    partition.write_at = now;
  }
}

std::vector<RouteTableCopyRequest> RouteTableCopies::TakeRequests(
    const RouteTableState& state, TimePoint now) {
  std::vector<RouteTableCopyRequest> requests;
  if (pending_ && now - pending_since_ >= kWriteDelay) {
    if (state.has_lowest_incarnation) {
      BeginWrites(now);
    } else {
      pending_.reset();
    }
  }
  for (Partition& partition : partitions_) {
    // One write at a time, so that an older copy does not overtake a newer one.
    if (!partition.is_write_due || partition.is_writing ||
        now < partition.write_at) {
      continue;
    }
    partition.is_write_due = false;
    if (!state.has_lowest_incarnation) continue;
    partition.is_writing = true;
    partition.writing_offset = value_offset_;
    requests.push_back(
        {RouteTableCopyRequest::Kind::kWrite, partition.number, value_});
  }
  if (state.has_table || !state.is_log_unreachable || now < next_read_) {
    return requests;
  }
  next_read_ = now + kReadInterval;
  for (Partition& partition : partitions_) {
    if (std::exchange(partition.is_reading, true)) continue;
    requests.push_back(
        {RouteTableCopyRequest::Kind::kRead, partition.number, ""});
  }
  return requests;
}

void RouteTableCopies::OnWritten(int partition, const Result<void>& result,
                                 TimePoint now) {
  Partition& written = Find(partition);
  written.is_writing = false;
  if (result) {
    ++counters_.written;
    Log(LogLevel::kInfo, "route_table_copied",
        {{"partition", std::to_string(partition)},
         {"offset", std::to_string(written.writing_offset.value())}});
    return;
  }
  ++counters_.failed_writes;
  // Writes are priced: one that may have stored the copy is not repeated.
  const bool is_superseded = written.is_write_due;
  const bool again = !is_superseded && !written.is_retry &&
                     result.error().execution == Execution::kNotRun;
  if (again) {
    written.is_write_due = true;
    written.is_retry = true;
    written.write_at = now + kRetryDelay;
  }
  Log(LogLevel::kWarning, "route_table_copy_not_written",
      {{"partition", std::to_string(partition)},
       {"offset", std::to_string(written.writing_offset.value())},
       {"message", result.error().message},
       {"again", again ? "true" : "false"}});
}

void RouteTableCopies::OnReadFailed(Partition& partition,
                                    const std::string& message) {
  ++counters_.failed_reads;
  if (std::exchange(partition.has_read_failed, true)) return;
  Log(LogLevel::kWarning, "route_table_copy_not_read",
      {{"partition", std::to_string(partition.number)}, {"message", message}});
}

// A copy is adopted as soon as it is read: the other partitions may not answer.
// A newer one among those replaces it.
std::optional<RouteTable> RouteTableCopies::OnRead(
    int partition, const Result<std::optional<std::string>>& copy,
    const RouteTableState& state) {
  Partition& read = Find(partition);
  read.is_reading = false;
  if (!copy) {
    OnReadFailed(read, copy.error().message);
    return std::nullopt;
  }
  if (!copy.value()) return std::nullopt;
  Result<RouteTable> table = Decode(*copy.value());
  if (!table) {
    OnReadFailed(read, table.error().message);
    return std::nullopt;
  }
  read.has_read_failed = false;
  if (state.has_table && table.value().offset <= state.offset) {
    return std::nullopt;
  }
  ++counters_.adopted;
  Log(LogLevel::kInfo, "route_table_copy_adopted",
      {{"partition", std::to_string(partition)},
       {"offset", std::to_string(table.value().offset.value())}});
  return std::move(table.value());
}

}  // namespace geranium
