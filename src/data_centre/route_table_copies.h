#ifndef GERANIUM_DATA_CENTRE_ROUTE_TABLE_COPIES_H_
#define GERANIUM_DATA_CENTRE_ROUTE_TABLE_COPIES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/log_message.h"
#include "contract/route_table.h"

namespace geranium {

/// A call to the store that reads or writes the copy in one partition.
struct RouteTableCopyRequest {
  enum class Kind { kWrite, kRead };
  Kind kind = Kind::kRead;
  int partition = 0;
  std::string value;  ///< With kWrite.
};

/// What an entry knows when it decides about copies.
struct RouteTableState {
  bool has_table = false;
  LogOffset offset;  ///< Of its table.
  /// Its incarnation is the lowest of itself and the entries linked to it.
  bool has_lowest_incarnation = false;
  /// The last read of the operator's log failed.
  bool is_log_unreachable = false;
};

struct RouteTableCopyCounters {
  std::uint64_t written = 0;
  std::uint64_t adopted = 0;
  std::uint64_t failed_writes = 0;
  std::uint64_t failed_reads = 0;  ///< Includes copies that were ignored.
};

/// Keeps copies of the route table on the store, and reads them while an entry
/// has no table and cannot read the operator's log.
class RouteTableCopies {
 public:
  /// The store's limit for one record.
  static constexpr std::size_t kMaxRecordBytes = 262'144;
  static constexpr Duration kWriteDelay{200};
  static constexpr Duration kRetryDelay{1000};
  static constexpr Duration kReadInterval{500};

  /// Copies are kept in the partitions 1 to `copies`; 0 turns them off.
  explicit RouteTableCopies(int copies);

  /// A changed table was read from the operator's log.
  void OnOperatorTable(const RouteTable& table, TimePoint now);
  /// Returns the calls to make now; to be asked at each tick.
  std::vector<RouteTableCopyRequest> TakeRequests(const RouteTableState& state,
                                                  TimePoint now);
  void OnWritten(int partition, const Result<void>& result, TimePoint now);
  /// Returns the table to adopt, if the copy is newer than the entry's.
  std::optional<RouteTable> OnRead(
      int partition, const Result<std::optional<std::string>>& copy,
      const RouteTableState& state);
  std::vector<LogMessage> TakeLogMessages();

  const RouteTableCopyCounters& counters() const { return counters_; }

 private:
  struct Partition {
    int number = 0;
    bool is_write_due = false;
    TimePoint write_at;
    bool is_retry = false;
    bool is_writing = false;
    LogOffset writing_offset;
    bool is_reading = false;
    bool has_read_failed = false;  ///< And was logged.
  };

  void BeginWrites(TimePoint now);
  void OnReadFailed(Partition& partition, const std::string& message);
  Partition& Find(int partition);
  void Log(LogLevel level, const std::string& event, LogFields fields);

  std::vector<Partition> partitions_;
  /// Read from the operator's log and not written yet.
  std::optional<RouteTable> pending_;
  TimePoint pending_since_;
  std::string value_;  ///< Encoded, of the table written last.
  LogOffset value_offset_;
  std::string written_content_;  ///< The same, without its offset.
  TimePoint next_read_;
  RouteTableCopyCounters counters_;
  std::vector<LogMessage> log_messages_;
};

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_ROUTE_TABLE_COPIES_H_
