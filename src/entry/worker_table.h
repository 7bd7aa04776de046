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

/// A worker as one entry sees it.
struct WorkerView {
  WorkerProfile profile;
  Incarnation incarnation;
  std::optional<LinkId> link;
  std::string http_address;
  Version version;
  WorkerLoad load;
  TimePoint last_heard;  ///< When the newest message came.
  TimePoint lost_since;  ///< When the link went down.
  /// Takes no offers before.
  TimePoint offers_paused_until = TimePoint::Never();
  int pending_offers = 0;  ///< This entry's offers there that are not granted.
  std::uint64_t offers_sent = 0;  ///< Over the present link.
  std::set<AttemptId> attempts;
  OutcomeHistory outcomes;

  /// Offers sent that the reported load does not include yet.
  int UnreportedOffers() const {
    return static_cast<int>(offers_sent - load.offers_seen);
  }
  /// Free slots for a class, less what was sent since the load was reported.
  int FreeSlots(TaskClass task_class) const {
    const bool urgent = task_class == TaskClass::kUrgent;
    return (urgent ? load.urgent_free_slots : load.free_slots) -
           UnreportedOffers();
  }
  /// True if one more offer may be made, with `limit` of them waiting for a
  /// slot besides those for which a slot is free.
  bool HasRoom(TaskClass task_class, int limit) const {
    return pending_offers < limit + std::max(0, FreeSlots(task_class));
  }
  /// Work there per slot.
  double LoadPerSlot() const;
};

/// What is asked of a worker for one task.
struct WorkerQuery {
  ServiceName service;
  TaskClass task_class = TaskClass::kNormal;
  Resources size;
  std::size_t choices = 2;
  bool needs_free_slot = false;
  std::optional<WorkerId> excluded_worker;
};

/// How a service stands in one data centre, as shown to operators.
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

/// The workers that an entry knows, and the choice among them.
class WorkerTable {
 public:
  /// A worker not heard of for this long is given no work.
  static constexpr Duration kSilenceTimeout{1000};
  /// At most one in this many workers is quarantined at a time.
  static constexpr std::size_t kQuarantineShare = 3;
  /// Workers looked at for one choice, so that its cost does not grow.
  static constexpr std::size_t kMaxProbes = 64;

  WorkerTable(const Configuration& configuration, Random& random)
      : configuration_(configuration), random_(random) {}

  /// The worker at `link`; a new incarnation replaces the older one's view.
  WorkerView& Connect(LinkId link, const Hello& hello, TimePoint now);
  /// The worker that was at `link`; null if it has another link by now.
  WorkerView* Disconnect(LinkId link, TimePoint now);
  void Remove(const WorkerId& id);

  WorkerView* Find(const WorkerId& id);
  const WorkerView* Find(const WorkerId& id) const;
  WorkerView* FindByLink(LinkId link);
  const std::map<WorkerId, WorkerView>& workers() const { return workers_; }

  /// Takes a load that was just reported.
  void UpdateLoad(WorkerView& worker, const WorkerLoad& load, TimePoint now);
  /// Counts an outcome towards the worker's quarantine.
  void RecordOutcome(WorkerView& worker, bool succeeded, TimePoint now);

  /// True if the worker may be given work of `service` at all.
  bool IsUsable(const WorkerView& worker, const ServiceName& service,
                TimePoint now) const;

  /// The least loaded of some usable workers; `limit` gives how many offers may
  /// wait at a worker with that many slots.
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

  /// True if the worker itself suits the query now.
  bool Matches(const WorkerView& worker, const WorkerQuery& query,
               TimePoint now) const;

  /// True if some known worker of the service, busy or not, could hold `size`.
  bool FitsAnyWorker(const ServiceName& service, const Resources& size) const;
  bool HasWorkers(const ServiceName& service) const;
  /// Slots of all usable workers of the service.
  int UsableSlots(const ServiceName& service, TimePoint now) const;

  /// True if the service has a live backend server in the data centre, and so
  /// has all that it depends on.
  bool IsAvailable(const ServiceName& service, const DataCentreName& name,
                   TimePoint now) const;
  std::vector<ServiceStatus> ServiceStatuses(const ServiceName& service,
                                             TimePoint now) const;

  /// To be called when the configuration in force has changed.
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
