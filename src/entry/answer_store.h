#ifndef GERANIUM_ENTRY_ANSWER_STORE_H_
#define GERANIUM_ENTRY_ANSWER_STORE_H_

#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/task.h"

namespace geranium {

/// The answers of finished jobs, kept for a time and up to a size.
class AnswerStore {
 public:
  static constexpr std::size_t kMaxBytes = 64U << 20U;

  /// Keeps `answer` until `until`; those that expire first go when space is
  /// short.
  void Put(const JobAnswer& answer, TimePoint until);
  /// Null if there is none or it was let go.
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
