#include "runtime/connection_table.h"

namespace geranium {

ConnectionTable::Id ConnectionTable::Add() {
  const Id id = next_id_++;
  connections_[id];
  SetWaiting(id);
  return id;
}

void ConnectionTable::Remove(Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  EndReading(found->second);
  EndWaiting(found->second);
  memory_ -= found->second.memory;
  connections_.erase(found);
}

void ConnectionTable::SetWaiting(Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  EndReading(connection);
  EndWaiting(connection);
  memory_ -= connection.memory;
  connection.memory = 0;
  connection.waiting_since = next_order_++;
  waiting_[connection.waiting_since] = id;
}

void ConnectionTable::SetHandling(Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  EndReading(found->second);
  EndWaiting(found->second);
}

// An ordinary request arrives within milliseconds, so the requests that have
// been arriving the longest are those of clients that send slowly or never end.
ConnectionTable::Outcome ConnectionTable::Reserve(Id id, std::size_t bytes,
                                                  std::vector<Id>& evicted) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return Outcome::kShortage;
  if (bytes > max_memory_) return Outcome::kTooLarge;
  Connection& connection = found->second;
  if (bytes > connection.memory &&
      !MakeRoom(id, bytes - connection.memory, evicted)) {
    return Outcome::kShortage;
  }
  memory_ = memory_ - connection.memory + bytes;
  connection.memory = bytes;
  if (connection.waiting_since != 0 && connection.reading_since == 0) {
    connection.reading_since = next_order_++;
    reading_[connection.reading_since] = id;
  }
  return Outcome::kReserved;
}

ConnectionTable::Outcome ConnectionTable::Lease(Id id, std::size_t bytes,
                                                std::vector<Id>& evicted) {
  if (memory_of(id) + bytes > max_memory_) return Outcome::kTooLarge;
  if (!MakeRoom(id, bytes, evicted)) return Outcome::kShortage;
  memory_ += bytes;
  return Outcome::kReserved;
}

bool ConnectionTable::MakeRoom(Id keeper, std::size_t needed,
                               std::vector<Id>& evicted) {
  auto oldest = reading_.begin();
  while (memory_ + needed > max_memory_ && oldest != reading_.end()) {
    const Id victim = oldest->second;
    ++oldest;
    if (victim == keeper) continue;
    Remove(victim);
    evicted.push_back(victim);
  }
  return memory_ + needed <= max_memory_;
}

std::optional<ConnectionTable::Id> ConnectionTable::EvictLongestWaiting() {
  if (waiting_.empty()) return std::nullopt;
  const Id id = waiting_.begin()->second;
  Remove(id);
  return id;
}

std::size_t ConnectionTable::memory_of(Id id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? 0 : found->second.memory;
}

void ConnectionTable::EndReading(Connection& connection) {
  if (connection.reading_since != 0) reading_.erase(connection.reading_since);
  connection.reading_since = 0;
}

void ConnectionTable::EndWaiting(Connection& connection) {
  if (connection.waiting_since != 0) waiting_.erase(connection.waiting_since);
  connection.waiting_since = 0;
}

}  // namespace geranium
