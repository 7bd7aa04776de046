#include "entry/worker_table.h"

#include <algorithm>
#include <numeric>

namespace geranium {
namespace {

constexpr Duration kAvailabilityTtl{50};

}  // namespace

double WorkerView::LoadPerSlot() const {
  const int work = load.running + load.queued + UnreportedOffers();
  return static_cast<double>(work) / std::max(1, profile.slots);
}

WorkerView& WorkerTable::Connect(LinkId link, const Hello& hello,
                                 TimePoint now) {
  const WorkerProfile& profile = *hello.worker;
  WorkerView& worker = workers_[profile.id];
  Unindex(worker);
  if (worker.link) links_.erase(*worker.link);
  worker.profile = profile;
  worker.incarnation = hello.incarnation;
  worker.http_address = hello.http_address;
  worker.link = link;
  worker.last_heard = now;
  worker.load = WorkerLoad{};
  worker.load.free_slots = profile.slots;
  worker.load.urgent_free_slots = profile.slots;
  worker.offers_sent = 0;
  links_[link] = profile.id;
  Index(worker);
  availability_.clear();
  return worker;
}

WorkerView* WorkerTable::Disconnect(LinkId link, TimePoint now) {
  WorkerView* worker = FindByLink(link);
  links_.erase(link);
  if (worker == nullptr || worker->link != link) return nullptr;
  worker->link.reset();
  worker->lost_since = now;
  availability_.clear();
  return worker;
}

void WorkerTable::Remove(const WorkerId& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  Unindex(found->second);
  if (found->second.link) links_.erase(*found->second.link);
  workers_.erase(found);
  availability_.clear();
}

void WorkerTable::Index(WorkerView& worker) {
  for (const ServiceName& service : worker.profile.services) {
    by_service_[service].push_back(&worker);
  }
}

void WorkerTable::Unindex(const WorkerView& worker) {
  for (const ServiceName& service : worker.profile.services) {
    std::erase(by_service_[service], &worker);
  }
}

WorkerView* WorkerTable::Find(const WorkerId& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const WorkerView* WorkerTable::Find(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

WorkerView* WorkerTable::FindByLink(LinkId link) {
  const auto found = links_.find(link);
  return found == links_.end() ? nullptr : Find(found->second);
}

void WorkerTable::UpdateLoad(WorkerView& worker, const WorkerLoad& load,
                             TimePoint now) {
  const bool was_live = IsLive(worker, now);
  worker.load = load;
  worker.last_heard = now;
  if (IsLive(worker, now) != was_live) availability_.clear();
}

void WorkerTable::RecordOutcome(WorkerView& worker, bool succeeded,
                                TimePoint now) {
  const bool is_bad = worker.outcomes.Add(succeeded);
  if (is_bad && MayQuarantine(worker, now)) worker.outcomes.Quarantine(now);
}

// Quarantine is for outliers. If most of the other workers fail as well, the
// tasks are at fault, and if too many workers are quarantined, the rest cannot
// carry the load.
bool WorkerTable::MayQuarantine(const WorkerView& worker, TimePoint now) const {
  std::size_t linked = 0;
  std::size_t restricted = 0;
  std::size_t failing = 0;
  for (const auto& [id, other] : workers_) {
    if (!other.link || id == worker.profile.id) continue;
    ++linked;
    if (other.outcomes.TrustLevelAt(now) != TrustLevel::kTrusted) {
      ++restricted;
    } else if (other.outcomes.failures() >=
               OutcomeHistory::kQuarantineFailures) {
      ++failing;
    }
  }
  const bool most_fail = failing * 2 > linked;
  return !most_fail && (restricted + 1) * kQuarantineShare <= linked + 1;
}

bool WorkerTable::IsLive(const WorkerView& worker, TimePoint now) const {
  return worker.link.has_value() && !worker.load.leaving &&
         worker.load.health != BackendHealth::kUnresponsive &&
         now - worker.last_heard <= kSilenceTimeout;
}

bool WorkerTable::IsUsable(const WorkerView& worker, const ServiceName& service,
                           TimePoint now) const {
  if (!IsLive(worker, now)) return false;
  if (!configuration_.IsInService(worker.profile.data_centre)) return false;
  const TrustLevel standing = worker.outcomes.TrustLevelAt(now);
  if (standing == TrustLevel::kQuarantined) return false;
  if (standing == TrustLevel::kProbation && !worker.attempts.empty()) {
    return false;
  }
  return IsAvailable(service, worker.profile.data_centre, now);
}

bool WorkerTable::Matches(const WorkerView& worker, const WorkerQuery& query,
                          TimePoint now) const {
  if (query.excluded_worker == worker.profile.id) return false;
  if (now < worker.offers_paused_until) return false;
  if (query.needs_free_slot && worker.FreeSlots(query.task_class) <= 0) {
    return false;
  }
  if (!worker.profile.capacity.CanFit(query.size)) return false;
  return IsUsable(worker, query.service, now);
}

// A random stride coprime to `count` visits every candidate once, and
// consecutive probes are not always neighbours in the list.
std::size_t WorkerTable::Stride(std::size_t count) {
  if (count < 3) return 1;
  std::size_t stride = 1 + random_.Below(count - 1);
  while (std::gcd(stride, count) != 1) stride = stride % (count - 1) + 1;
  return stride;
}

bool WorkerTable::HasWorkers(const ServiceName& service) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() && !found->second.empty();
}

bool WorkerTable::FitsAnyWorker(const ServiceName& service,
                                const Resources& size) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const WorkerView* worker) {
                       return worker->profile.capacity.CanFit(size);
                     });
}

int WorkerTable::UsableSlots(const ServiceName& service, TimePoint now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return 0;
  int slots = 0;
  for (const WorkerView* worker : found->second) {
    if (IsUsable(*worker, service, now)) slots += worker->profile.slots;
  }
  return slots;
}

bool WorkerTable::HasLiveWorker(const ServiceName& service,
                                const DataCentreName& name,
                                TimePoint now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const WorkerView* worker) {
                       return worker->profile.data_centre == name &&
                              IsLive(*worker, now);
                     });
}

bool WorkerTable::ComputeAvailable(const ServiceName& service,
                                   const DataCentreName& name,
                                   TimePoint now) const {
  const ServiceSpec* spec = configuration_.FindService(service);
  if (spec == nullptr || !HasLiveWorker(service, name, now)) return false;
  return std::all_of(
      spec->depends.begin(), spec->depends.end(),
      [&](const ServiceName& other) { return IsAvailable(other, name, now); });
}

bool WorkerTable::IsAvailable(const ServiceName& service,
                              const DataCentreName& name, TimePoint now) const {
  const auto key = std::make_pair(service, name);
  const auto found = availability_.find(key);
  if (found != availability_.end() && now < found->second.until) {
    return found->second.available;
  }
  const bool available = ComputeAvailable(service, name, now);
  availability_[key] = {now + kAvailabilityTtl, available};
  return available;
}

std::vector<ServiceStatus> WorkerTable::ServiceStatuses(
    const ServiceName& service, TimePoint now) const {
  std::map<DataCentreName, ServiceStatus> standings;
  for (const auto& [name, centre] :
       configuration_.service_config().data_centres) {
    ServiceStatus& standing = standings[name];
    standing.data_centre = name;
    standing.data_centre_in = configuration_.IsInService(name);
    const ServiceSpec* spec = configuration_.FindService(service);
    if (spec == nullptr) continue;
    for (const ServiceName& other : spec->depends) {
      if (IsAvailable(other, name, now)) continue;
      standing.missing_dependencies.push_back(other);
    }
    standing.available =
        standing.data_centre_in && IsAvailable(service, name, now);
  }
  for (const auto& [id, worker] : workers_) {
    const auto& services = worker.profile.services;
    if (!worker.link || std::ranges::count(services, service) == 0) continue;
    ServiceStatus& standing = standings[worker.profile.data_centre];
    standing.data_centre = worker.profile.data_centre;
    ++standing.workers;
    if (worker.load.leaving) {
      ++standing.leaving;
    } else if (worker.load.health == BackendHealth::kUnresponsive ||
               now - worker.last_heard > kSilenceTimeout) {
      ++standing.quiet;
    } else if (worker.load.health == BackendHealth::kFailing) {
      ++standing.failing;
    } else {
      ++standing.answering;
    }
    const TrustLevel trust = worker.outcomes.TrustLevelAt(now);
    if (trust != TrustLevel::kTrusted) ++standing.quarantined;
  }
  std::vector<ServiceStatus> found;
  for (auto& [name, standing] : standings) found.push_back(standing);
  return found;
}

}  // namespace geranium
