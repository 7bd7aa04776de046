#include "entry/worker_ledger.h"

#include <algorithm>
#include <vector>

namespace geranium {
namespace {

/// A worker this many times slower than the median counts as slow. With
/// estimates off by 40 %, the median of a few runs stays well below it.
constexpr double kSlowFactor = 2.0;
/// Lower bound of the median, so that workers are not slow by comparison with
/// others that are very fast.
constexpr double kMinMedianSlowness = 0.5;

}  // namespace

double KnownWorker::FreeCpu(int priority) const {
  double queued = 0;
  for (std::size_t rank = 0; rank < report.queued_cpu.size(); ++rank) {
    if (static_cast<int>(rank) <= priority) queued += report.queued_cpu[rank];
  }
  const double unreported = cpu_sent - report.cpu_received;
  return report.free.cpu - queued - unreported;
}

bool KnownWorker::HasLabel(const std::string& label) const {
  return std::find(card->labels.begin(), card->labels.end(), label) !=
         card->labels.end();
}

bool KnownWorker::IsLocalTo(const StepSpec& step) const {
  return step.data_rack.empty() || HasLabel(step.data_rack);
}

KnownWorker* WorkerLedger::FindByLink(LinkId link) {
  const auto found = by_link_.find(link);
  return found == by_link_.end() ? nullptr : &workers_.at(found->second);
}

KnownWorker* WorkerLedger::Find(Incarnation agent) {
  const auto found = workers_.find(agent);
  return found == workers_.end() ? nullptr : &found->second;
}

const KnownWorker* WorkerLedger::Find(Incarnation agent) const {
  const auto found = workers_.find(agent);
  return found == workers_.end() ? nullptr : &found->second;
}

bool WorkerLedger::OnLinkUp(LinkId link, Incarnation agent, TimePoint now) {
  KnownWorker& worker = workers_[agent];
  // Read late: the agent has closed it, and lists no order sent since.
  if (link < worker.newest_link) return false;
  if (worker.link) by_link_.erase(*worker.link);
  worker.agent = agent;
  worker.link = link;
  worker.newest_link = link;
  worker.last_heard = now;
  worker.cpu_sent = 0;
  worker.report = WorkerReport{};
  by_link_[link] = agent;
  return true;
}

KnownWorker* WorkerLedger::OnLinkDown(LinkId link) {
  KnownWorker* worker = FindByLink(link);
  if (worker == nullptr) return nullptr;
  worker->link.reset();
  by_link_.erase(link);
  return worker;
}

void WorkerLedger::Update() {
  std::vector<double> values;
  for (const auto& [agent, worker] : workers_) {
    if (worker.report.accepting) values.push_back(worker.report.slowness);
  }
  median_slowness_ = 1;
  if (values.empty()) return;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  median_slowness_ = *middle;
}

bool WorkerLedger::TakesOrders(const KnownWorker& worker, TimePoint now) const {
  return worker.link && worker.card && worker.report.accepting &&
         now - worker.last_heard <= kStaleTimeout;
}

// Slow workers count too: one delays every job of which it gets a task.
bool WorkerLedger::IsOnProbation(const KnownWorker& worker) const {
  return worker.report.failing ||
         worker.report.slowness >
             kSlowFactor * std::max(median_slowness_, kMinMedianSlowness);
}

bool WorkerLedger::FitsAny(const StepSpec& step,
                           const ServiceName& service) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& item) {
    const KnownWorker& worker = item.second;
    if (!worker.card || worker.card->service != service) return false;
    const bool labelled =
        step.required_label.empty() || worker.HasLabel(step.required_label);
    return labelled && worker.card->capacity.CanFit(step.size);
  });
}

std::size_t WorkerLedger::CountAccepting(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& item) {
        const KnownWorker& worker = item.second;
        return worker.link && worker.report.accepting &&
               now - worker.last_heard <= kStaleTimeout;
      }));
}

double WorkerLedger::CapacityShare(const std::set<Incarnation>& excluded,
                                   TimePoint now) const {
  double cpu = 0;
  for (const auto& [agent, worker] : workers_) {
    const bool counts = TakesOrders(worker, now) && !IsOnProbation(worker) &&
                        !excluded.contains(agent);
    if (!counts) continue;
    cpu += worker.card->capacity.cpu / std::max(worker.report.entries, 1U);
  }
  return cpu;
}

}  // namespace geranium
