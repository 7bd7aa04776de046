#ifndef GERANIUM_ENTRY_ANSWER_STORE_H_
#define GERANIUM_ENTRY_ANSWER_STORE_H_

#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/task.h"

namespace geranium {

/// Cache of the answers of finished jobs, bounded in time and in bytes.
class AnswerStore {
 public:
  static constexpr std::size_t kMaxBytes = 64U << 20U;

  /// Stores `answer` until `until`. Above `kMaxBytes`, answers are evicted in
  /// the order of their expiry.
  void Put(const JobAnswer& answer, TimePoint until);
  /// Null if the answer is unknown, expired or evicted.
  const JobAnswer* Find(const JobId& job) const;
  void Expire(TimePoint now);

  std::size_t size() const { return answers_.size(); }

 private:
  void EvictEarliest();

  std::unordered_map<JobId, JobAnswer> answers_;
  std::multimap<TimePoint, JobId> expiry_;
  std::size_t bytes_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_ANSWER_STORE_H_
