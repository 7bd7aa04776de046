#ifndef GERANIUM_ENTRY_WORKER_TABLE_H_
#define GERANIUM_ENTRY_WORKER_TABLE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "data_centre/configuration.h"
#include "entry/outcome_history.h"
#include "link/messages.h"

namespace geranium {

/// One entry's view of a worker.
struct WorkerView {
  WorkerProfile profile;
  Incarnation incarnation;
  std::optional<LinkId> link;
  std::string http_address;
  Version version;
  WorkerLoad load;
  TimePoint last_heard;  ///< When the last message came.
  TimePoint lost_since;  ///< When the link went down.
  /// No offers are sent before this time.
  TimePoint offers_paused_until = TimePoint::Never();
  int pending_offers = 0;         ///< This entry's offers not granted yet.
  std::uint64_t offers_sent = 0;  ///< Over the current link.
  std::set<AttemptId> attempts;
  OutcomeHistory outcomes;

  /// Offers sent that the last load report does not include.
  int UnreportedOffers() const {
    return static_cast<int>(offers_sent - load.offers_seen);
  }
  /// Free slots for a class, less the offers since the last load report.
  int FreeSlots(TaskClass task_class) const {
    const bool urgent = task_class == TaskClass::kUrgent;
    return (urgent ? load.urgent_free_slots : load.free_slots) -
           UnreportedOffers();
  }
  /// True if one more offer may be made: at most one for each free slot plus
  /// `limit` that wait for a slot.
  bool HasRoom(TaskClass task_class, int limit) const {
    return pending_offers < limit + std::max(0, FreeSlots(task_class));
  }
  /// Running, queued and unreported tasks per slot.
  double LoadPerSlot() const;
};

/// What a task requires of a worker.
struct WorkerQuery {
  ServiceName service;
  TaskClass task_class = TaskClass::kNormal;
  Resources size;
  std::size_t choices = 2;
  bool needs_free_slot = false;
  std::optional<WorkerId> excluded_worker;
};

/// State of a service in one data centre, as shown to operators.
struct ServiceStatus {
  DataCentreName data_centre;
  int workers = 0;
  int answering = 0;
  int quiet = 0;
  int failing = 0;
  int leaving = 0;
  int quarantined = 0;
  bool data_centre_in = false;
  std::vector<ServiceName> missing_dependencies;
  bool available = false;
};

/// The workers known to an entry, and the selection among them.
class WorkerTable {
 public:
  /// A worker that sent nothing for this long gets no work.
  static constexpr Duration kSilenceTimeout{1000};
  /// At most one in this many workers may be quarantined at a time.
  static constexpr std::size_t kQuarantineShare = 3;
  /// Limit on the workers examined per choice, to bound its cost.
  static constexpr std::size_t kMaxProbes = 64;

  WorkerTable(const Configuration& configuration, Random& random)
      : configuration_(configuration), random_(random) {}

  /// Registers the worker at `link`, over any earlier connection of it.
  WorkerView& Connect(LinkId link, const Hello& hello, TimePoint now);
  /// Returns the worker that was at `link`; null if it has a newer link.
  WorkerView* Disconnect(LinkId link, TimePoint now);
  void Remove(const WorkerId& id);

  WorkerView* Find(const WorkerId& id);
  const WorkerView* Find(const WorkerId& id) const;
  WorkerView* FindByLink(LinkId link);
  const std::map<WorkerId, WorkerView>& workers() const { return workers_; }

  /// Records a load that the worker reported at `now`.
  void UpdateLoad(WorkerView& worker, const WorkerLoad& load, TimePoint now);
  /// Records an outcome and quarantines the worker if it is an outlier.
  void RecordOutcome(WorkerView& worker, bool succeeded, TimePoint now);

  /// True if the worker may currently get work of `service`.
  bool IsUsable(const WorkerView& worker, const ServiceName& service,
                TimePoint now) const;

  /// The least loaded of up to `query.choices` workers that match; `limit` maps
  /// a worker's slots to the number of offers that may wait there.
  template <class MaxWaitingOffers>
  WorkerView* Choose(const WorkerQuery& query, MaxWaitingOffers limit,
                     TimePoint now) {
    WorkerView* best = nullptr;
    std::size_t seen = 0;
    const auto& candidates = by_service_[query.service];
    const std::size_t count = candidates.size();
    const std::size_t first = count == 0 ? 0 : random_.Below(count);
    const std::size_t stride = Stride(count);
    const std::size_t probes = std::min(count, kMaxProbes);
    for (std::size_t i = 0; i < probes && seen < query.choices; ++i) {
      WorkerView& worker = *candidates[(first + i * stride) % count];
      if (!Matches(worker, query, now)) continue;
      if (!worker.HasRoom(query.task_class, limit(worker.profile.slots))) {
        continue;
      }
      ++seen;
      if (best == nullptr || worker.LoadPerSlot() < best->LoadPerSlot()) {
        best = &worker;
      }
    }
    return best;
  }

  /// True if the worker satisfies the query at `now`.
  bool Matches(const WorkerView& worker, const WorkerQuery& query,
               TimePoint now) const;

  /// True if a worker of the service has the total capacity for `size`.
  bool FitsAnyWorker(const ServiceName& service, const Resources& size) const;
  bool HasWorkers(const ServiceName& service) const;
  /// Total slots of the usable workers of the service.
  int UsableSlots(const ServiceName& service, TimePoint now) const;

  /// True if the service and all its dependencies have a live worker in the
  /// data centre.
  bool IsAvailable(const ServiceName& service, const DataCentreName& name,
                   TimePoint now) const;
  std::vector<ServiceStatus> ServiceStatuses(const ServiceName& service,
                                             TimePoint now) const;

  /// Must be called when the configuration changes.
  void InvalidateAvailability() { availability_.clear(); }

 private:
  struct Availability {
    TimePoint until;
    bool available = false;
  };

  bool IsLive(const WorkerView& worker, TimePoint now) const;
  bool HasLiveWorker(const ServiceName& service, const DataCentreName& name,
                     TimePoint now) const;
  bool ComputeAvailable(const ServiceName& service, const DataCentreName& name,
                        TimePoint now) const;
  bool MayQuarantine(const WorkerView& worker, TimePoint now) const;
  std::size_t Stride(std::size_t count);
  void Index(WorkerView& worker);
  void Unindex(const WorkerView& worker);

  const Configuration& configuration_;
  Random& random_;
  std::map<WorkerId, WorkerView> workers_;
  std::unordered_map<LinkId, WorkerId> links_;
  std::unordered_map<ServiceName, std::vector<WorkerView*>> by_service_;
  mutable std::map<std::pair<ServiceName, DataCentreName>, Availability>
      availability_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_WORKER_TABLE_H_
