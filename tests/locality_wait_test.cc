#include "entry/locality_wait.h"

#include <catch2/catch.hpp>

namespace geranium {
namespace {

constexpr TimePoint kNow(5000);
const LocalityWait kWait(LocalityWaitOptions{100});

/// Runs of 200 ms take 100 ms longer outside the rack.
LocalityWaitInputs Inputs(std::optional<Duration> expected_wait) {
  LocalityWaitInputs inputs;
  inputs.estimate = Duration(200);
  inputs.cross_rack_factor = 1.5;
  inputs.expected_wait = expected_wait;
  inputs.time_left = Duration(1000);
  return inputs;
}

TEST_CASE("LocalityWait waits for less than the run would lose elsewhere") {
  CHECK(kWait.WaitUntil(Inputs(Duration(90)), kNow) == kNow + Duration(100));
  CHECK_FALSE(kWait.WaitUntil(Inputs(Duration(110)), kNow));
  LocalityWaitInputs inputs = Inputs(Duration(90));
  inputs.relative_run_time = 0.5;  // A fast worker has room.
  CHECK_FALSE(kWait.WaitUntil(inputs, kNow));
  CHECK_FALSE(LocalityWait({50}).WaitUntil(Inputs(Duration(90)), kNow));
}

TEST_CASE("LocalityWait not in use never waits") {
  CHECK_FALSE(LocalityWait({}).is_used());
  CHECK_FALSE(LocalityWait({}).WaitUntil(Inputs(Duration(0)), kNow));
}

TEST_CASE("LocalityWait waits longer while the cores elsewhere are scarce") {
  LocalityWaitInputs inputs = Inputs(Duration(150));
  inputs.others_wait = true;
  CHECK(kWait.WaitUntil(inputs, kNow) == kNow + Duration(200));
}

TEST_CASE("LocalityWait of an urgent job ends within its objective") {
  LocalityWaitInputs inputs = Inputs(Duration(40));
  inputs.time_left = Duration(60);
  CHECK(kWait.WaitUntil(inputs, kNow) == kNow + Duration(60));
  inputs.time_left = Duration(30);
  CHECK_FALSE(kWait.WaitUntil(inputs, kNow));
  inputs.time_left = Duration(-30);
  CHECK_FALSE(kWait.WaitUntil(inputs, kNow));
}

// A rack that has failed, or whose data centre is out of service.
TEST_CASE(
    "LocalityWait for a rack without a worker that takes orders places "
    "the task elsewhere at once") {
  CHECK_FALSE(ExpectedLocalWait({}, {}));
  CHECK_FALSE(kWait.WaitUntil(Inputs(std::nullopt), kNow));
}

// Estimates too low by 40 %, or a hung run, promise a place that never comes.
TEST_CASE(
    "LocalityWait with an expectation that is never met ends at what the "
    "run would have lost elsewhere") {
  LocalityWaitInputs inputs = Inputs(Duration(10));
  std::int64_t waited = 0;
  for (; waited < 10'000; ++waited) {
    inputs.waited = Duration(waited);
    if (!kWait.WaitUntil(inputs, kNow + inputs.waited)) break;
  }
  CHECK(waited == 91);  // The next 10 ms would exceed 100 ms.
}

// Bursts of large jobs: their data is in a few racks.
TEST_CASE(
    "LocalityWait with many jobs that want the same rack lets only those "
    "wait that find a place in time") {
  const std::vector<RackWorker> rack(
      8, {Duration(30), Duration(10), /*cores=*/64, /*entries=*/4});
  RackQueue queue{0, Duration(200), 4};
  int waiting = 0;
  for (int job = 0; job < 100; ++job) {
    const auto expected = ExpectedLocalWait(rack, queue);
    if (!kWait.WaitUntil(Inputs(expected), kNow)) continue;
    ++waiting;
    queue.cores_ahead += queue.task_cores;
  }
  // This entry's 128 cores free 64 in 100 ms, from 20 ms on: 12 or 13 tasks.
  CHECK(waiting >= 12);
  CHECK(waiting <= 14);
}

TEST_CASE("ExpectedLocalWait is the first expected end, by the report's age") {
  const RackQueue queue{0, Duration(200), 4};
  const auto wait = [&](const RackWorker& worker) {
    return ExpectedLocalWait({{Duration(500), Duration(0), 32, 1}, worker},
                             queue);
  };
  CHECK(wait({Duration(80), Duration(30), 32, 1}) == Duration(50));
  CHECK(wait({Duration(80), Duration(90), 32, 1}) == Duration(1));
  // A core is free there, but the task takes four: one of eight runs ends.
  CHECK(wait({Duration(0), Duration(30), 32, 1}) == Duration(25));
}

}  // namespace
}  // namespace geranium
