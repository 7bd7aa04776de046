#include "entry/placement_cost.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

namespace geranium {
namespace {

struct Report {
  double slowness;
  std::uint32_t speed_runs;
};

/// A quarter of the workers takes 0.55 times the nominal time, the others 1.2.
RunTimeModel UnevenModel() {
  RunTimeModel model;
  std::vector<Report> reports;
  for (int i = 0; i < 76; ++i) reports.push_back({i % 4 == 0 ? 0.55 : 1.2, 15});
  model.Update(reports);
  return model;
}

PlacementCostInputs Inputs(double slowness, double used, Duration time_left) {
  const RunTimeModel model = UnevenModel();
  PlacementCostInputs inputs;
  inputs.estimate = Duration(200);
  inputs.range = model.range();
  inputs.relative_run_time = model.RelativeRunTime(slowness, 15);
  inputs.used = used;
  inputs.time_left = time_left;
  return inputs;
}

double Cost(double slowness, double used, Duration time_left) {
  return PlacementCost(Inputs(slowness, used, time_left));
}

TEST_CASE("RunTimeModel with uneven workers relates each to the median") {
  const RunTimeModel model = UnevenModel();
  CHECK(model.is_uneven());
  CHECK(model.median() == Approx(1.2));
  CHECK(model.RelativeRunTime(0.55, 15) == Approx(0.55 / 1.2));
  CHECK(model.RelativeRunTime(1.2, 15) == Approx(1));
  // A worker that has just started reports 1; a hung one is bounded.
  CHECK(model.RelativeRunTime(1, 0) == 1);
  CHECK(model.RelativeRunTime(2.4, 5) == Approx(1 + 1.0 / 3));
  CHECK(model.RelativeRunTime(20, 15) == 4);
  CHECK(model.RelativeRunTime(0.05, 15) == 0.25);
}

TEST_CASE("RunTimeModel with even or hardly known workers leaves them equal") {
  RunTimeModel model;
  std::vector<Report> reports;
  SECTION("nothing is known") {}
  SECTION("one worker in twenty is faulty") {
    for (int i = 0; i < 20; ++i) reports.push_back({i == 0 ? 6.0 : 1.0, 15});
  }
  SECTION("workers of 1, 1 and 1.3 times the nominal time") {
    for (int i = 0; i < 63; ++i) reports.push_back({i % 3 == 0 ? 1.3 : 1, 15});
  }
  SECTION("three workers are known") {
    reports = {{0.5, 15}, {1, 15}, {2, 15}, {4, 14}};
  }
  SECTION("reports that are no numbers") {
    reports = {{NAN, 15}, {NAN, 15}, {0, 15}, {-1, 15}, {1, 15}};
  }
  model.Update(reports);
  CHECK_FALSE(model.is_uneven());
  CHECK(model.RelativeRunTime(3, 15) == 1);
}

// Earlier deployments must not be served worse.
TEST_CASE("PlacementCost on even workers is the cost used so far") {
  PlacementCostInputs inputs;
  inputs.estimate = Duration(200);
  inputs.used = 0.5;
  inputs.time_left = Duration(-50);
  CHECK(PlacementCost(inputs) == Approx(1.15));
  inputs.locality_factor = 2;
  inputs.other_data_centre = true;
  inputs.avoid = true;
  CHECK(PlacementCost(inputs) == Approx(2 * 1.15 + 0.05 + 1));
}

TEST_CASE(
    "PlacementCost on uneven workers prefers any worker in time to any "
    "that is late") {
  // Expected: 92 ms at the fast worker, 200 ms at the slow one.
  PlacementCostInputs fast = Inputs(0.55, 1, Duration(150));
  fast.other_data_centre = true;
  fast.avoid = true;
  CHECK(PlacementCost(fast) < Cost(1.2, 0, Duration(150)));
  fast.locality_factor = 2;  // Now 183 ms: as late as the other.
  CHECK(PlacementCost(fast) > Cost(1.2, 0, Duration(150)));
}

TEST_CASE("PlacementCost on uneven workers leaves fast ones to jobs in need") {
  const Duration spare(1000);
  CHECK(Cost(1.2, 0.5, spare) < Cost(0.55, 0.5, spare));
  // In time at a slow worker, but not if the estimate is 40 % too low.
  const Duration tight(210);
  CHECK(Cost(0.55, 0.9, tight) < Cost(1.2, 0, tight));
  // Too late even at a fast one: it must not take it from others.
  const Duration lost(50);
  CHECK(Cost(1.2, 0.5, lost) < Cost(0.55, 0.5, lost));
}

TEST_CASE(
    "PlacementCost on uneven workers does not idle fast ones while slow "
    "ones are nearly full") {
  CHECK(Cost(0.55, 0, Duration(1000)) < Cost(1.2, 0.9, Duration(1000)));
  CHECK(Cost(1.2, 0.2, Duration(1000)) < Cost(1.2, 0.3, Duration(1000)));
}

TEST_CASE(
    "PlacementCost on uneven workers keeps a job with time to spare near "
    "its data") {
  PlacementCostInputs remote = Inputs(1.2, 0, Duration(1000));
  remote.locality_factor = 1.5;
  CHECK(Cost(0.55, 0.9, Duration(1000)) < PlacementCost(remote));
}

}  // namespace
}  // namespace geranium
