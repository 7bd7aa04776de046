#ifndef GERANIUM_BASE_IDS_H_
#define GERANIUM_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace geranium {

/// A value of type `Rep` that does not convert to ids of other kinds.
template <class Tag, class Rep>
class StrongId {
 public:
  using RepType = Rep;

  StrongId() = default;
  explicit StrongId(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }
  auto operator<=>(const StrongId&) const = default;

 private:
  Rep value_{};
};

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using TeamName = StrongId<struct TeamNameTag, std::string>;
using DataCentreName = StrongId<struct DataCentreNameTag, std::string>;
using WorkerId = StrongId<struct WorkerIdTag, std::string>;
using EntryId = StrongId<struct EntryIdTag, std::string>;
using RecordId = StrongId<struct RecordIdTag, std::string>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// Identifies one run of a process; generated at random when it starts.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// A connection between two processes, as numbered by the process itself.
using LinkId = StrongId<struct LinkIdTag, std::uint64_t>;
/// A caller's request that awaits its answer, as numbered by the entry.
using CallerHandle = StrongId<struct CallerHandleTag, std::uint64_t>;
/// A position on a stream of the log service; positions start at 1.
using LogOffset = StrongId<struct LogOffsetTag, std::int64_t>;
/// The log position of the newest accepted configuration change; 0 is none.
using Version = StrongId<struct VersionTag, std::int64_t>;

/// A job, numbered by the entry that accepted it.
struct JobId {
  Incarnation entry;
  std::uint64_t number = 0;

  auto operator<=>(const JobId&) const = default;
  template <class A>
  void Fields(A& a) {
    a(entry)(number);
  }
};

/// One attempt to run a task at a worker, numbered by the entry.
struct AttemptId {
  Incarnation entry;
  std::uint64_t number = 0;

  auto operator<=>(const AttemptId&) const = default;
  template <class A>
  void Fields(A& a) {
    a(entry)(number);
  }
};

/// The text form of a job id: incarnation in hexadecimal, a dash, the number.
std::string ToString(const JobId& id);
std::string ToString(const AttemptId& id);
std::string ToString(Incarnation incarnation);

}  // namespace geranium

template <class Tag, class Rep>
struct std::hash<geranium::StrongId<Tag, Rep>> {
  std::size_t operator()(const geranium::StrongId<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};

template <>
struct std::hash<geranium::AttemptId> {
  std::size_t operator()(const geranium::AttemptId& id) const {
    return std::hash<std::uint64_t>()(id.entry.value() ^ id.number);
  }
};

template <>
struct std::hash<geranium::JobId> {
  std::size_t operator()(const geranium::JobId& id) const {
    return std::hash<std::uint64_t>()(id.entry.value() ^ id.number);
  }
};

#endif  // GERANIUM_BASE_IDS_H_
