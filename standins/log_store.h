#ifndef GERANIUM_STANDINS_LOG_STORE_H_
#define GERANIUM_STANDINS_LOG_STORE_H_

#include <deque>
#include <string>

#include "base/clock.h"
#include "contract/log.h"

namespace geranium {

/// In-memory stream of the stand-in for the platform's log service.
class LogStore {
 public:
  explicit LogStore(Duration retention) : retention_(retention) {}

  LogOffset Append(const RecordId& id, const std::string& body, TimePoint now);
  LogBatch Read(LogOffset from, std::size_t max_records, TimePoint now) const;
  /// Drops records older than the retention period.
  void Expire(TimePoint now);

  LogOffset next() const {
    return LogOffset(first_.value() +
                     static_cast<std::int64_t>(records_.size()));
  }

 private:
  struct StoredRecord {
    RecordId id;
    std::string body;
    TimePoint appended;
  };

  Duration retention_;
  LogOffset first_{1};
  std::deque<StoredRecord> records_;
};

}  // namespace geranium

#endif  // GERANIUM_STANDINS_LOG_STORE_H_
