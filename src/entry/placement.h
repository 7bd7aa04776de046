#ifndef GERANIUM_ENTRY_PLACEMENT_H_
#define GERANIUM_ENTRY_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "entry/locality_wait.h"
#include "entry/open_step_job.h"
#include "entry/route_isolation.h"
#include "entry/run_time_model.h"
#include "entry/worker_ledger.h"

namespace geranium {

struct PlacementOptions {
  DataCentreName data_centre;  ///< The entry's own.
  /// Run time outside the data's rack, relative to that within it.
  double cross_rack_factor = 1.5;
  /// Tasks of the most urgent priority may queue at a full worker, ahead of all
  /// others, up to this fraction of its cores. Where a task takes more than
  /// that, only a few run at once and a place is too long in coming.
  double urgent_ahead = 0.17;
  /// Fraction of a worker's cores that must stay free, for tasks with data in
  /// its rack, when a task with data in another rack is placed there.
  double local_reserve = 0.2;
  /// Weighs the expected end of a task at workers of uneven speed; see
  /// PlacementCost.
  bool by_speed = false;
  /// Replaces `local_reserve` by LocalityWait, unless 0.
  LocalityWaitOptions locality_wait;
};

/// The task for which a worker is sought.
struct PlacementRequest {
  const OpenStepJob* job = nullptr;
  std::size_t step = 0;
  std::size_t task = 0;
  bool is_crash_suspect = false;

  const StepSpec& spec() const { return job->spec.steps[step]; }
  const StepTask& state() const { return job->steps[step].tasks[task]; }
  int priority() const { return job->route.priority; }
};

struct PlacementCounters {
  std::uint64_t local = 0;   ///< Tasks with data in a rack placed there ...
  std::uint64_t remote = 0;  ///< ... or elsewhere.
  std::uint64_t locality_waits = 0;  ///< Times that a task was left waiting.
};

/// Chooses the worker for a task by free capacity, rack and speed.
class Placement {
 public:
  Placement(PlacementOptions options, WorkerLedger& workers,
            const RouteIsolation& isolation)
      : options_(std::move(options)),
        workers_(workers),
        isolation_(isolation),
        locality_wait_(options_.locality_wait) {}

  void SetRouteTable(const RouteTable* table) { table_ = table; }
  /// Fraction of each worker's cores that is kept free for urgent tasks.
  void SetUrgentReserve(double fraction) { urgent_reserve_ = fraction; }

  /// To be called before the tasks in the queue are placed in order;
  /// `lacks_room`: tasks are left without room, so that cores are scarce.
  void BeginPass(bool lacks_room);
  /// Updates what is known of the workers' speeds.
  void Update(TimePoint now);
  bool is_uneven() const { return run_times_.is_uneven(); }
  const PlacementCounters& counters() const { return counters_; }

  enum class Outcome { kPlaced, kNoRoom, kWaitsForRack };
  struct Choice {
    Outcome outcome = Outcome::kNoRoom;
    KnownWorker* worker = nullptr;  ///< Set if placed.
  };

  Choice Choose(const PlacementRequest& request, TimePoint now);
  /// True if a worker, in whatever rack, has room for the task now.
  bool HasRoom(const PlacementRequest& request, TimePoint now) const;
  /// Run time of a task of the step at the worker by its estimate and rack.
  Duration EstimateAt(const KnownWorker& worker, const StepSpec& step) const;

 private:
  bool IsEligible(const KnownWorker& worker, const PlacementRequest& request,
                  TimePoint now) const;
  bool IsInDataRack(const KnownWorker& worker, const PlacementRequest& request,
                    TimePoint now) const;
  bool HasLocalWorker(const PlacementRequest& request, TimePoint now) const;
  bool IsWaitingWorthwhile(const KnownWorker& elsewhere,
                           const PlacementRequest& request,
                           TimePoint now) const;
  bool MayPlaceRemote(const KnownWorker& worker,
                      const PlacementRequest& request) const;
  double ReservedCpu(const KnownWorker& worker, int priority) const;
  double UrgentAheadCpu(const KnownWorker& worker, double task_cpu,
                        int priority) const;
  Duration TimeLeft(const PlacementRequest& request, TimePoint now) const;
  Duration MedianRunTime(const StepSpec& step) const;
  double RelativeRunTime(const KnownWorker& worker) const;
  double Cost(const KnownWorker& worker, const PlacementRequest& request,
              TimePoint now) const;
  bool IsOutOfService(const KnownWorker& worker) const;
  static std::uint32_t CountTasksOn(const KnownWorker& worker,
                                    const PlacementRequest& request);

  PlacementOptions options_;
  WorkerLedger& workers_;
  const RouteIsolation& isolation_;
  const RouteTable* table_ = nullptr;
  LocalityWait locality_wait_;
  RunTimeModel run_times_;
  double urgent_reserve_ = 0;
  bool lacks_room_ = false;
  /// Cores of tasks left waiting for each rack in this pass.
  std::map<std::string, double> cores_waiting_;
  PlacementCounters counters_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_PLACEMENT_H_
