#include "runtime/connection_table.h"

#include <catch2/catch.hpp>

#include "runtime/client_limits.h"

namespace geranium {
namespace {

using Id = ConnectionTable::Id;
using Outcome = ConnectionTable::Outcome;

// Guards against a crowd of requests, each within its limits, that takes more
// than the memory of the process.
TEST_CASE("ConnectionTable full of arriving requests evicts the oldest ones") {
  ConnectionTable table(100);
  std::vector<Id> evicted;
  const Id first = table.Add();
  const Id second = table.Add();
  CHECK(table.Reserve(second, 50, evicted) == Outcome::kReserved);
  CHECK(table.Reserve(first, 40, evicted) == Outcome::kReserved);
  CHECK(evicted.empty());
  CHECK(table.Reserve(table.Add(), 30, evicted) == Outcome::kReserved);
  CHECK(evicted == std::vector<Id>{second});
  CHECK(table.memory() == 70);
  CHECK(table.size() == 2);
}

TEST_CASE("ConnectionTable full of handled requests refuses another one") {
  ConnectionTable table(100);
  std::vector<Id> evicted;
  const Id handled = table.Add();
  CHECK(table.Reserve(handled, 80, evicted) == Outcome::kReserved);
  table.SetHandling(handled);
  const Id next = table.Add();
  CHECK(table.Reserve(next, 30, evicted) == Outcome::kShortage);
  CHECK(table.Reserve(next, 101, evicted) == Outcome::kTooLarge);
  CHECK(evicted.empty());
  table.SetWaiting(handled);
  CHECK(table.Reserve(next, 30, evicted) == Outcome::kReserved);
}

// Guards against a request that evicts itself as it grows.
TEST_CASE("ConnectionTable with one growing request counts it once") {
  ConnectionTable table(100);
  std::vector<Id> evicted;
  const Id only = table.Add();
  for (const std::size_t bytes : {10U, 60U, 100U}) {
    CHECK(table.Reserve(only, bytes, evicted) == Outcome::kReserved);
  }
  CHECK(evicted.empty());
  CHECK(table.memory() == 100);
  table.Remove(only);
  CHECK(table.memory() == 0);
}

TEST_CASE(
    "ConnectionTable makes room by the connection that waited the longest") {
  ConnectionTable table(100);
  const Id handled = table.Add();
  const Id used = table.Add();
  const Id idle = table.Add();
  table.SetHandling(handled);
  table.SetHandling(used);
  table.SetWaiting(used);
  CHECK(table.EvictLongestWaiting() == idle);
  CHECK(table.EvictLongestWaiting() == used);
  CHECK_FALSE(table.EvictLongestWaiting().has_value());
}

TEST_CASE("Client limits leave descriptors to the rest of the process") {
  CHECK(BoundConnections(2700, 3075) == 2700);
  CHECK(BoundConnections(2700, 1024) == 649);
  CHECK(BoundConnections(2700, 200) == 100);
}

// Guards against small bodies that take many times their size when parsed,
// and against charging text for what stands in it.
TEST_CASE("Client limits charge JSON values, not the text in strings") {
  CHECK(EstimateParsingMemory(R"({"a":[{},{}]})") >= 1280);
  CHECK(EstimateParsingMemory(R"("[,,\",{{,,")") < 256);
}

// Guards against a job that goes on, unaccounted, when its caller has left.
TEST_CASE("ConnectionTable with a lease counts it after its connection's end") {
  ConnectionTable table(100);
  std::vector<Id> evicted;
  const Id caller = table.Add();
  CHECK(table.Reserve(caller, 10, evicted) == Outcome::kReserved);
  table.SetHandling(caller);
  CHECK(table.Lease(caller, 91, evicted) == Outcome::kTooLarge);
  CHECK(table.Lease(caller, 60, evicted) == Outcome::kReserved);
  CHECK(table.memory() == 70);
  table.Remove(caller);
  CHECK(table.memory() == 60);
  const Id next = table.Add();
  CHECK(table.Reserve(next, 50, evicted) == Outcome::kShortage);
  CHECK(table.Lease(next, 50, evicted) == Outcome::kShortage);
  table.EndLease(60);
  CHECK(table.Reserve(next, 50, evicted) == Outcome::kReserved);
}

TEST_CASE("ConnectionTable asked for a lease evicts requests that arrive") {
  ConnectionTable table(100);
  std::vector<Id> evicted;
  const Id slow = table.Add();
  CHECK(table.Reserve(slow, 80, evicted) == Outcome::kReserved);
  const Id caller = table.Add();
  CHECK(table.Reserve(caller, 10, evicted) == Outcome::kReserved);
  table.SetHandling(caller);
  CHECK(table.Lease(caller, 50, evicted) == Outcome::kReserved);
  CHECK(evicted == std::vector<Id>{slow});
}

}  // namespace
}  // namespace geranium
