#ifndef GERANIUM_DATA_CENTRE_ROUTE_FOLLOWER_H_
#define GERANIUM_DATA_CENTRE_ROUTE_FOLLOWER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/log_message.h"
#include "contract/operator_record.h"
#include "contract/route_table.h"

namespace geranium {

/// The next call to the operator's log.
struct OperatorLogRequest {
  enum class Kind { kNewest, kTail };
  Kind kind = Kind::kNewest;
  std::string after_key;  ///< With kNewest: the page after this key.
  LogOffset from;         ///< With kTail.
  Duration delay;         ///< To wait before the call.
};

/// Follows the operator's log: reads the newest record of each key, then tails
/// the log, and starts over if records expired before they were read. One call
/// is in flight at a time.
class RouteFollower {
 public:
  /// How long a read waits at the log for a new record. Short, so that an
  /// unresponsive connection uses up little of the time within which a change
  /// has to be in force.
  static constexpr Duration kLongPollWait{800};

  OperatorLogRequest NextRequest() const;
  /// Applies the result of a call; returns the table if it has changed.
  std::optional<RouteTable> OnNewest(const Result<NewestRecordPage>& page);
  std::optional<RouteTable> OnTail(const Result<OperatorRecordBatch>& records);
  std::vector<LogMessage> TakeLogMessages();
  /// The last call failed.
  bool unreachable() const { return unreachable_; }

 private:
  void OnFailure(const Error& error);
  void OnSuccess();
  bool Apply(const OperatorRecord& record);
  RouteTable BuildTable();

  bool tailing_ = false;
  std::string after_key_;
  LogOffset next_offset_;
  RouteTable table_;
  std::set<DataCentreName> data_centres_out_;
  /// Those in the pages read so far.
  std::set<DataCentreName> listed_data_centres_out_;
  Duration retry_delay_;
  bool unreachable_ = false;
  std::vector<LogMessage> log_messages_;
};

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_ROUTE_FOLLOWER_H_
