#ifndef GERANIUM_ENTRY_PLACEMENT_COST_H_
#define GERANIUM_ENTRY_PLACEMENT_COST_H_

#include "base/clock.h"
#include "entry/run_time_model.h"

namespace geranium {

/// A task and a worker with room for it.
struct PlacementCostInputs {
  /// Run time at the median worker, near the task's data.
  Duration estimate;
  double relative_run_time = 1;  ///< Of the worker (RunTimeModel).
  RunTimeRange range;            ///< Of the deployment.
  double locality_factor = 1;    ///< Run time here over that near the data.
  double used = 0;               ///< Fraction of the worker's cores.
  Duration time_left;            ///< For this task, until the job's objective.
  bool other_data_centre = false;
  bool avoid = false;  ///< An earlier run of the task ended badly here.
};

/// The cost of placing the task on the worker; lower is better.
double PlacementCost(const PlacementCostInputs& inputs);

}  // namespace geranium

#endif  // GERANIUM_ENTRY_PLACEMENT_COST_H_
