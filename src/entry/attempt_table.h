#ifndef GERANIUM_ENTRY_ATTEMPT_TABLE_H_
#define GERANIUM_ENTRY_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "entry/open_step_job.h"

namespace geranium {

/// An order that was sent and whose end is not known yet.
struct OpenAttempt {
  JobNumber job = 0;
  std::size_t step = 0;
  std::size_t task = 0;
  Incarnation agent;
  TimePoint sent;
};

/// The orders of an entry whose ends are outstanding. Ids are never reused.
class AttemptTable {
 public:
  explicit AttemptTable(Incarnation entry) : entry_(entry) {}

  AttemptId Open(const OpenAttempt& attempt) {
    const AttemptId id{entry_, next_++};
    open_[id] = attempt;
    return id;
  }
  /// Forgets the attempt; none if its end was known already.
  std::optional<OpenAttempt> Close(const AttemptId& id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return std::nullopt;
    const OpenAttempt attempt = found->second;
    open_.erase(found);
    return attempt;
  }
  const OpenAttempt& At(const AttemptId& id) const { return open_.at(id); }
  std::size_t size() const { return open_.size(); }

 private:
  Incarnation entry_;
  std::uint64_t next_ = 1;
  std::unordered_map<AttemptId, OpenAttempt> open_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_ATTEMPT_TABLE_H_
