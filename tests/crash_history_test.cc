#include "entry/crash_history.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace geranium {
namespace {

using Routes = std::vector<std::string>;

class CrashHistoryTest {
 protected:
  std::string Crash(const Routes& routes) {
    now_ = now_ + Duration(100);
    return history_.OnCrash(routes, now_);
  }

  /// Returns the routes that were cleared meanwhile.
  Routes Advance(Duration by, bool exposed) {
    Routes cleared;
    for (const TimePoint end = now_ + by; now_ < end;) {
      now_ = now_ + Duration(10);
      for (const std::string& route : history_.OnTick(exposed, now_)) {
        cleared.push_back(route);
      }
    }
    return cleared;
  }

  TimePoint now_{1000};
  CrashHistory history_;
};

TEST_CASE_METHOD(CrashHistoryTest,
                 "CrashHistory with three crashes after starts of one route "
                 "isolates it and no bystander") {
  CHECK(Crash({"a", "b"}).empty());
  CHECK(Crash({"a"}).empty());
  CHECK(Crash({"a", "b"}) == "a");
  CHECK(history_.IsIsolated("a"));
  for (int i = 0; i < 10; ++i) CHECK(Crash({"a", "b"}).empty());
  CHECK_FALSE(history_.IsIsolated("b"));
}

TEST_CASE_METHOD(CrashHistoryTest,
                 "CrashHistory with crashes that speak against two routes "
                 "alike isolates neither") {
  for (int i = 0; i < 5; ++i) CHECK(Crash({"a", "b"}).empty());
  CHECK(history_.empty());
  CHECK(Crash({"b"}) == "b");
}

TEST_CASE_METHOD(CrashHistoryTest,
                 "CrashHistory with crashes without a recent start or far "
                 "apart isolates nothing") {
  for (int i = 0; i < 5; ++i) CHECK(Crash({}).empty());
  for (int i = 0; i < 5; ++i) {
    CHECK(Crash({"a"}).empty());
    Advance(Duration(2600), true);
  }
  CHECK(history_.empty());
}

TEST_CASE_METHOD(CrashHistoryTest,
                 "CrashHistory ends isolation only after a time in which jobs "
                 "of the route could run") {
  for (int i = 0; i < 3; ++i) Crash({"a"});
  CHECK(Advance(Duration(10'000), false).empty());
  CHECK(Advance(Duration(1500), true).empty());
  Crash({"a"});
  CHECK(Advance(Duration(1500), true).empty());
  CHECK(Advance(Duration(600), true) == Routes{"a"});
  CHECK(history_.empty());
}

TEST_CASE(
    "CrashHistory with suspects of two jobs counts for each the task "
    "with most crashes") {
  CrashHistory history;
  const TimePoint now(1000);
  history.AddSuspect(TaskName("a.0.0.1"), now);
  history.AddSuspect(TaskName("a.0.0.2"), now);
  history.AddSuspect(TaskName("b.0.0.1"), now);
  history.AddSuspect(TaskName("b.0.0.1"), now);
  CHECK(history.CountCrashesOfJob(StepJobId("a")) == 1);
  CHECK(history.CountCrashesOfJob(StepJobId("b")) == 2);
  CHECK(history.CountCrashesOfJob(StepJobId("c")) == 0);
  (void)history.OnTick(true, TimePoint(1000 + 60'001));
  CHECK(history.CountCrashesOfJob(StepJobId("b")) == 0);
}

TEST_CASE("CrashHistory with very many suspects keeps a bounded number") {
  CrashHistory history;
  const TimePoint now(1000);
  history.AddSuspect(TaskName("a.0.0.0"), now);
  for (std::size_t i = 0; i < 2 * CrashHistory::kMaxSuspects; ++i) {
    history.AddSuspect(TaskName("b.0.0." + std::to_string(i)), now);
  }
  history.AddSuspect(TaskName("a.0.0.0"), now);
  CHECK(history.CountCrashes(TaskName("a.0.0.0")) == 2);
  CHECK(history.CountCrashes(TaskName(
            "b.0.0." + std::to_string(2 * CrashHistory::kMaxSuspects - 1))) ==
        0);
}

}  // namespace
}  // namespace geranium
