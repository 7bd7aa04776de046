#ifndef GERANIUM_ENTRY_WORKER_LEDGER_H_
#define GERANIUM_ENTRY_WORKER_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/step_job.h"
#include "link/messages.h"

namespace geranium {

/// A worker as its agent reports it, and what this entry has ordered there.
struct KnownWorker {
  Incarnation agent;
  std::optional<LinkId> link;
  LinkId newest_link;  ///< Also when it is down.
  std::optional<WorkerCard> card;
  WorkerReport report;
  TimePoint reported_at;
  TimePoint last_heard;
  double cpu_sent = 0;  ///< Over the current link.
  TimePoint next_probe = TimePoint::Never();
  std::set<AttemptId> attempts;

  /// Cores available to an order of this priority: those free, less queued
  /// orders that are as urgent or more, and less orders that the report
  /// predates.
  double FreeCpu(int priority) const;
  bool HasLabel(const std::string& label) const;
  /// True if the step's data is in the worker's rack, or in none.
  bool IsLocalTo(const StepSpec& step) const;
};

/// The workers that this entry knows of.
class WorkerLedger {
 public:
  /// A worker not heard from for this long gets no new orders.
  static constexpr Duration kStaleTimeout{300};

  KnownWorker* FindByLink(LinkId link);
  KnownWorker* Find(Incarnation agent);
  const KnownWorker* Find(Incarnation agent) const;

  /// Returns false if a newer link of the agent is known.
  bool OnLinkUp(LinkId link, Incarnation agent, TimePoint now);
  /// The worker whose link it was; null if it was not in use.
  KnownWorker* OnLinkDown(LinkId link);
  void Erase(Incarnation agent) { workers_.erase(agent); }

  /// Updates what is derived from the reports of all workers.
  void Update();
  double median_slowness() const { return median_slowness_; }

  /// True if the worker is linked, accepts orders and was heard from lately.
  bool TakesOrders(const KnownWorker& worker, TimePoint now) const;
  /// True if it fails or is slow: it gets one run at a time, at intervals.
  bool IsOnProbation(const KnownWorker& worker) const;
  /// True if a worker of the service could run a task of the step when idle.
  bool FitsAny(const StepSpec& step, const ServiceName& service) const;
  std::size_t CountAccepting(TimePoint now) const;
  /// This entry's share of the workers' cores, if a worker's cores are shared
  /// evenly by the entries linked to it.
  double CapacityShare(const std::set<Incarnation>& excluded,
                       TimePoint now) const;

  std::map<Incarnation, KnownWorker>& workers() { return workers_; }
  const std::map<Incarnation, KnownWorker>& workers() const { return workers_; }

 private:
  std::map<Incarnation, KnownWorker> workers_;
  std::unordered_map<LinkId, Incarnation> by_link_;
  double median_slowness_ = 1;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_WORKER_LEDGER_H_
