#include "log_store.h"

#include <algorithm>

namespace geranium {

LogOffset LogStore::Append(const RecordId& id, const std::string& body,
                           TimePoint now) {
  const LogOffset offset = next();
  records_.push_back(StoredRecord{id, body, now});
  return offset;
}

LogBatch LogStore::Read(LogOffset from, std::size_t max_records,
                        TimePoint now) const {
  LogBatch batch;
  batch.first = first_;
  batch.next = next();
  std::int64_t offset = std::max(from, first_).value();
  while (offset < batch.next.value() && batch.records.size() < max_records) {
    const auto index = static_cast<std::size_t>(offset - first_.value());
    const StoredRecord& stored = records_[index];
    batch.records.push_back(LogRecord{LogOffset(offset), stored.id,
                                      now - stored.appended, stored.body});
    ++offset;
  }
  return batch;
}

void LogStore::Expire(TimePoint now) {
  while (!records_.empty() && now - records_.front().appended > retention_) {
    records_.pop_front();
    first_ = LogOffset(first_.value() + 1);
  }
}

}  // namespace geranium
