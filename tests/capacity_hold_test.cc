#include "worker/capacity_hold.h"

#include <catch2/catch.hpp>

namespace geranium {
namespace {

// The load of these tests: workers are full, several entries order the same
// freed core at once, and all orders but one are returned.

constexpr Duration kLimit{20};
constexpr TimePoint kNow{1000};
const Incarnation kHolder{1};
const Incarnation kOther{2};

CapacityHold WithHolds(int runs) {
  CapacityHold hold(kLimit);
  hold.OnOrder(kHolder, true, kNow);
  for (int i = 0; i < runs; ++i) CHECK(hold.OnRunEnded(kHolder, 8, kNow));
  return hold;
}

// Guards against the race for a freed core, and against cores that stay idle
// since they are held for an entry that has nothing to start.
TEST_CASE("CapacityHold holds a freed core only for an entry that waits") {
  const CapacityHold hold = WithHolds(1);
  CHECK(hold.HeldFrom(kOther, kNow) == 8);
  CHECK(hold.HeldFrom(kHolder, kNow) == 0);
  CapacityHold idle(kLimit);
  CHECK_FALSE(idle.OnRunEnded(kHolder, 8, kNow));
  idle.OnOrder(kHolder, false, kNow);
  CHECK_FALSE(idle.OnRunEnded(kHolder, 8, kNow));
  CHECK(idle.HeldFrom(kOther, kNow) == 0);
}

// Guards against cores hidden after their entry has ordered, and against all
// being shown to everybody after its first order.
TEST_CASE("CapacityHold ends one hold with each order of its entry") {
  CapacityHold hold = WithHolds(3);
  hold.OnOrder(kHolder, true, kNow);
  CHECK(hold.HeldFrom(kOther, kNow) == 16);
  hold.OnOrder(kOther, true, kNow);
  CHECK(hold.HeldFrom(kOther, kNow) == 16);
  hold.OnOrder(kHolder, false, kNow);
  CHECK(hold.HeldFrom(kOther, kNow) == 0);
  CHECK_FALSE(hold.OnRunEnded(kHolder, 8, kNow));
}

// Guards against cores lost to an entry that is frozen or has placed its tasks
// elsewhere.
TEST_CASE("CapacityHold expires after its limit") {
  CapacityHold hold = WithHolds(2);
  CHECK(hold.next_expiry() == kNow + kLimit);
  CHECK(hold.HeldFrom(kOther, kNow + kLimit) == 16);
  CHECK(hold.Expire(kNow + kLimit) == 0);
  const TimePoint later = kNow + kLimit + Duration(1);
  CHECK(hold.HeldFrom(kOther, later) == 0);
  CHECK(hold.Expire(later) == 2);
  CHECK_FALSE(hold.next_expiry());
}

// Guards against cores held for an entry that cannot order them.
TEST_CASE("CapacityHold holds nothing for an entry without a link") {
  CapacityHold hold = WithHolds(1);
  CHECK(hold.Drop(kHolder));
  CHECK_FALSE(hold.Drop(kHolder));
  CHECK(hold.HeldFrom(kOther, kNow) == 0);
  CHECK_FALSE(hold.OnRunEnded(kHolder, 8, kNow));
}

// Guards against free cores that no entry is shown: a queued order has taken
// the held ones, and the hold hides those that the next run frees.
TEST_CASE("CapacityHold holds no cores that are in use again") {
  CapacityHold hold = WithHolds(2);
  hold.LimitTo(12);
  CHECK(hold.HeldFrom(kOther, kNow) == 12);
  hold.LimitTo(0);
  CHECK(hold.HeldFrom(kOther, kNow) == 0);
}

// Guards against memory that grows with the number of runs or of entries.
TEST_CASE("CapacityHold is bounded, and off with a limit of 0") {
  CapacityHold hold = WithHolds(CapacityHold::kMaxHolds);
  CHECK_FALSE(hold.OnRunEnded(kHolder, 8, kNow));
  for (std::uint64_t i = 1; i <= CapacityHold::kMaxWaitingEntries; ++i) {
    hold.OnOrder(Incarnation(i), true, kNow);
  }
  hold.Expire(kNow + kLimit + Duration(1));
  CHECK(hold.OnRunEnded(kOther, 8, kNow));
  const Incarnation one_too_many{CapacityHold::kMaxWaitingEntries + 1};
  hold.OnOrder(one_too_many, true, kNow);
  CHECK_FALSE(hold.OnRunEnded(one_too_many, 8, kNow));
  CapacityHold off{Duration(0)};
  off.OnOrder(kHolder, true, kNow);
  CHECK_FALSE(off.OnRunEnded(kHolder, 8, kNow));
}

}  // namespace
}  // namespace geranium
