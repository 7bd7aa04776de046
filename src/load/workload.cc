#include "load/workload.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace geranium {
namespace {

constexpr std::array<std::string_view, kWorkKinds> kNames = {
    "lookup", "booking", "quote", "batch"};

struct RunTimes {
  int min_ms;
  int mean_extra_ms;
  int max_ms;
};

// In the order of WorkKind: 50 ms to 1 s as a rule, at most a few seconds.
constexpr std::array<RunTimes, kWorkKinds> kRunTimes = {
    {{40, 20, 200}, {60, 90, 1000}, {80, 120, 1500}, {80, 220, 4000}}};

double MeanMs(std::size_t kind) {
  return kRunTimes[kind].min_ms + kRunTimes[kind].mean_extra_ms;
}

}  // namespace

std::string_view Name(WorkKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::string WorkItem::TaskId(std::size_t task) const {
  return std::to_string(number) + "/" + std::to_string(task);
}

int WorkItem::LongestMs() const {
  return *std::max_element(run_ms.begin(), run_ms.end());
}

int WorkItem::TotalMs() const {
  return std::accumulate(run_ms.begin(), run_ms.end(), 0);
}

Workload::Workload(WorkloadOptions options)
    : options_(options), random_(options.seed), run_id_(random_.Bits()) {
  const double mean_tasks = (1.0 + options_.max_tasks) / 2;
  double total = 0;
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const bool is_batch = static_cast<WorkKind>(i) == WorkKind::kBatch;
    const double work = MeanMs(i) * (is_batch ? mean_tasks : 1.0);
    weights_[i] = options_.shares[i] / work;
    total += weights_[i];
  }
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const bool is_batch = static_cast<WorkKind>(i) == WorkKind::kBatch;
    weights_[i] /= total;
    mean_work_ms_ += weights_[i] * MeanMs(i) * (is_batch ? mean_tasks : 1.0);
  }
}

int Workload::DrawRunMs(WorkKind kind) {
  const RunTimes& times = kRunTimes[static_cast<std::size_t>(kind)];
  std::exponential_distribution<double> extra(1.0 / times.mean_extra_ms);
  const int run_ms = times.min_ms + static_cast<int>(extra(random_.engine()));
  return std::min(times.max_ms, run_ms);
}

WorkItem Workload::Next() {
  std::discrete_distribution<std::size_t> draw(weights_.begin(),
                                               weights_.end());
  WorkItem item;
  item.kind = static_cast<WorkKind>(draw(random_.engine()));
  item.number = next_number_++;
  std::size_t tasks = 1;
  if (item.kind == WorkKind::kBatch) {
    tasks += random_.Below(static_cast<std::size_t>(options_.max_tasks));
  }
  for (std::size_t i = 0; i < tasks; ++i) {
    item.run_ms.push_back(DrawRunMs(item.kind));
  }
  const bool keyed = item.kind == WorkKind::kBooking &&
                     random_.Chance(options_.keyed_bookings);
  if (keyed) {
    item.key =
        "load-" + std::to_string(run_id_) + "-" + std::to_string(item.number);
  }
  return item;
}

double Workload::InterarrivalMs(double offered_load) {
  std::exponential_distribution<double> gap(offered_load / mean_work_ms_);
  return gap(random_.engine());
}

}  // namespace geranium
