#ifndef GERANIUM_RUNTIME_CONNECTION_TABLE_H_
#define GERANIUM_RUNTIME_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace geranium {

/// A server's open connections and the memory of their requests. Decides which
/// connections are closed for others; closing them is up to the caller.
class ConnectionTable {
 public:
  using Id = std::uint64_t;

  enum class Outcome {
    kReserved,
    kShortage,  ///< Does not fit beside the requests being handled.
    kTooLarge,  ///< Would not fit if it were the only one.
  };

  explicit ConnectionTable(std::size_t max_memory) : max_memory_(max_memory) {}

  /// A new connection, which waits for its first request.
  Id Add();
  void Remove(Id id);
  /// The connection waits for its next request and holds no memory.
  void SetWaiting(Id id);
  /// Its request is being handled; the connection is not closed for others.
  void SetHandling(Id id);

  /// Sets the memory of the connection's request. If it does not fit, the
  /// requests that have been arriving the longest are added to `evicted` and
  /// removed. Without success its memory is unchanged.
  Outcome Reserve(Id id, std::size_t bytes, std::vector<Id>& evicted);
  /// Reserves memory that outlives the connection, until `EndLease`. Makes room
  /// like `Reserve`.
  Outcome Lease(Id id, std::size_t bytes, std::vector<Id>& evicted);
  void EndLease(std::size_t bytes) { memory_ -= bytes; }
  /// Removes the connection that has waited for a request the longest.
  std::optional<Id> EvictLongestWaiting();

  std::size_t size() const { return connections_.size(); }
  std::size_t memory() const { return memory_; }
  std::size_t memory_of(Id id) const;

 private:
  struct Connection {
    std::size_t memory = 0;
    std::uint64_t waiting_since = 0;  ///< 0 while a request is handled.
    std::uint64_t reading_since = 0;  ///< 0 unless a request is arriving.
  };

  /// Removes the requests that have been arriving the longest, but for
  /// `keeper`, until `needed` bytes are free; false if they do not suffice.
  bool MakeRoom(Id keeper, std::size_t needed, std::vector<Id>& evicted);
  void EndReading(Connection& connection);
  void EndWaiting(Connection& connection);

  std::size_t max_memory_;
  std::size_t memory_ = 0;  ///< Of connections and leases.
  Id next_id_ = 1;
  std::uint64_t next_order_ = 1;
  std::unordered_map<Id, Connection> connections_;
  std::map<std::uint64_t, Id> waiting_;  ///< By `waiting_since`.
  std::map<std::uint64_t, Id> reading_;  ///< By `reading_since`.
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_CONNECTION_TABLE_H_
