#include "entry/placement.h"

#include <catch2/catch.hpp>

#include "entry/attempt_table.h"

namespace geranium {
namespace {

/// Three linked workers of 32 cores, two of them in the rack "r1".
class PlacementTest {
 protected:
  PlacementTest() : isolation_(workers_) {
    AddWorker(1, "r1");
    AddWorker(2, "r1");
    AddWorker(3, "r2");
    job_.route.service = ServiceName("s");
    job_.route.priority = 1;
    StepSpec step;
    step.size = Resources{3, 64, 0};
    step.estimate = Duration(100);
    job_.spec.steps.push_back(step);
    job_.steps.emplace_back().tasks.resize(2);
  }

  void AddWorker(std::uint64_t id, const std::string& rack) {
    workers_.OnLinkUp(LinkId(id), Incarnation(id), kNow);
    KnownWorker& worker = At(id);
    WorkerCard card;
    card.id = WorkerId("w" + std::to_string(id));
    card.service = ServiceName("s");
    card.labels = {rack};
    card.capacity = Resources{32, 1024, 0};
    card.previous_runs_ended = true;
    worker.card = card;
    worker.report.accepting = true;
    worker.report.free = card.capacity;
    worker.report.entries = 4;
  }

  KnownWorker& At(std::uint64_t id) { return *workers_.Find(Incarnation(id)); }

  /// The worker's number; 0 if there is no room, `kWaits` for a wait.
  std::uint64_t Choose() {
    Placement placement(options_, workers_, isolation_);
    placement.SetUrgentReserve(reserve_);
    workers_.Update();
    placement.Update(kNow);
    placement.BeginPass(false);
    const auto choice = placement.Choose(PlacementRequest{&job_, 0, 0}, kNow);
    if (choice.outcome == Placement::Outcome::kWaitsForRack) return kWaits;
    return choice.worker == nullptr ? 0 : choice.worker->agent.value();
  }

  static constexpr std::uint64_t kWaits = 99;
  PlacementOptions options_;

  static constexpr TimePoint kNow{1000};
  WorkerLedger workers_;
  RouteIsolation isolation_;
  OpenStepJob job_;
  double reserve_ = 0;
};

TEST_CASE_METHOD(PlacementTest, "Placement chooses the least loaded worker") {
  At(1).report.free.cpu = 10;
  At(2).report.free.cpu = 20;
  At(3).report.free.cpu = 15;
  CHECK(Choose() == 2);
}

// Guards against a worker filled by orders that its report predates.
TEST_CASE_METHOD(PlacementTest,
                 "Placement counts orders that are queued or on the way") {
  At(1).cpu_sent = 30;
  At(2).report.queued_cpu = {0, 30, 0, 0};
  At(3).report.free.cpu = 2;
  CHECK(Choose() == 0);
  At(1).report.cpu_received = 30;
  CHECK(Choose() == 1);
}

// Guards against full workers when wide urgent jobs arrive.
TEST_CASE_METHOD(PlacementTest,
                 "Placement keeps the urgent reserve free of other tasks") {
  reserve_ = 0.4;
  for (std::uint64_t id = 1; id <= 3; ++id) At(id).report.free.cpu = 14;
  CHECK(Choose() == 0);
  job_.route.priority = kMostUrgentPriority;
  CHECK(Choose() != 0);
}

// Guards against capacity lost to longer runs outside the data's rack.
TEST_CASE_METHOD(PlacementTest,
                 "Placement of a task with data waits for a full rack unless "
                 "others have plenty of room") {
  job_.spec.steps[0].data_rack = "r1";
  At(1).report.free.cpu = 0;
  At(2).report.free.cpu = 0;
  At(3).report.free.cpu = 9;
  CHECK(Choose() == 0);
  At(3).report.free.cpu = 32;
  CHECK(Choose() == 3);
}

// Many jobs want the same rack. Guards against waits that cost more than a run
// elsewhere, and against waits while the rack has room.
TEST_CASE_METHOD(PlacementTest,
                 "Placement of a task with data waits for its rack while that "
                 "is shorter than what a run elsewhere loses") {
  options_.locality_wait.wait_percent = 100;
  options_.cross_rack_factor = 2;
  job_.spec.steps[0].data_rack = "r1";
  job_.submitted = kNow;
  job_.deadlines.objective = kNow + Duration(400);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    At(id).report.free.cpu = 0;
    At(id).report.next_end = Duration(60);
    At(id).reported_at = kNow;
  }
  CHECK(Choose() == kWaits);
  job_.submitted = kNow - Duration(60);
  CHECK(Choose() == 3);
  job_.submitted = kNow;
  job_.deadlines.objective = kNow + Duration(140);
  CHECK(Choose() == 3);
  job_.deadlines.objective = kNow + Duration(400);
  At(2).report.free.cpu = 3;
  CHECK(Choose() == 2);
}

// Workers of uneven speed. Guards against a task that waits for its rack while
// a slow worker there is free and a fast one elsewhere is cheaper.
TEST_CASE_METHOD(PlacementTest,
                 "Placement by speed of a task with data never waits while its "
                 "rack has room") {
  options_.by_speed = true;
  options_.locality_wait.wait_percent = 100;
  AddWorker(4, "r2");
  for (std::uint64_t id = 1; id <= 4; ++id) {
    At(id).report.slowness = id == 3 ? 0.55 : 1.2;
    At(id).report.speed_runs = 15;
  }
  job_.spec.steps[0].data_rack = "r1";
  job_.spec.steps[0].estimate = Duration(760);
  job_.deadlines.objective = kNow + Duration(1276);
  CHECK(Choose() != kWaits);
  CHECK(Choose() != 0);
}

TEST_CASE_METHOD(PlacementTest,
                 "Placement avoids workers that are silent, failing, draining "
                 "or not settled") {
  At(1).last_heard = kNow - WorkerLedger::kStaleTimeout - Duration(1);
  At(2).report.accepting = false;
  At(3).card->previous_runs_ended = false;
  CHECK(Choose() == 0);
}

// Guards against an entry that counts itself able to serve by workers that it
// cannot use.
TEST_CASE_METHOD(PlacementTest,
                 "WorkerLedger counts an entry's share of usable workers") {
  workers_.Update();
  CHECK(workers_.CapacityShare({}, kNow) == Approx(24));
  CHECK(workers_.CapacityShare({Incarnation(1)}, kNow) == Approx(16));
  At(2).report.slowness = 5;
  CHECK(workers_.CapacityShare({}, kNow) == Approx(16));
  At(2).report.slowness = 1;
  CHECK(workers_.OnLinkDown(LinkId(3)) == &At(3));
  CHECK(workers_.CapacityShare({}, kNow) == Approx(16));
  CHECK(workers_.FindByLink(LinkId(3)) == nullptr);
}

// Guards against orders attributed to a link that the agent has replaced.
TEST_CASE_METHOD(PlacementTest, "WorkerLedger ignores a link that is older") {
  workers_.OnLinkUp(LinkId(9), Incarnation(1), kNow);
  CHECK_FALSE(workers_.OnLinkUp(LinkId(5), Incarnation(1), kNow));
  CHECK(At(1).link == LinkId(9));
  CHECK(workers_.FindByLink(LinkId(1)) == nullptr);
}

// Guards against an end that is counted twice.
TEST_CASE("AttemptTable closes an attempt once and never reuses its id") {
  AttemptTable attempts(Incarnation(1));
  const AttemptId id = attempts.Open(OpenAttempt{7, 0, 1, Incarnation(2), {}});
  CHECK(attempts.At(id).job == 7);
  CHECK(attempts.Close(id)->task == 1);
  CHECK_FALSE(attempts.Close(id));
  CHECK(attempts.Open({}) != id);
}

}  // namespace
}  // namespace geranium
