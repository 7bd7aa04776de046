#ifndef GERANIUM_LOAD_WORKLOAD_H_
#define GERANIUM_LOAD_WORKLOAD_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"

namespace geranium {

/// The kinds of work in the load's mix, as in etc/services.ini.
enum class WorkKind { kLookup, kBooking, kQuote, kBatch };
inline constexpr std::size_t kWorkKinds = 4;

std::string_view Name(WorkKind kind);

/// One submission of the load.
struct WorkItem {
  WorkKind kind = WorkKind::kLookup;
  std::uint64_t number = 0;
  std::vector<int> run_ms;  ///< One for each task.
  std::string key;          ///< Empty if it is submitted without one.

  /// The id that the backend server echoes in the result of task `task`.
  std::string TaskId(std::size_t task) const;
  /// Run time of the longest task; tasks run in parallel.
  int LongestMs() const;
  int TotalMs() const;
};

struct WorkloadOptions {
  std::uint64_t seed = 1;
  /// Share of processor time of each kind, in the order of the enum.
  std::array<double, kWorkKinds> shares = {0.1, 0.3, 0.2, 0.4};
  double keyed_bookings = 0.5;  ///< Fraction of bookings with a key.
  int max_tasks = 16;           ///< In one batch.
};

/// Generates random submissions and the times between them.
class Workload {
 public:
  explicit Workload(WorkloadOptions options);

  WorkItem Next();
  /// Milliseconds to the next submission, for a rate of `offered_load` slots'
  /// worth of work; exponentially distributed.
  double InterarrivalMs(double offered_load);

 private:
  int DrawRunMs(WorkKind kind);

  WorkloadOptions options_;
  Random random_;
  std::uint64_t run_id_;
  std::uint64_t next_number_ = 1;
  std::array<double, kWorkKinds> weights_{};
  double mean_work_ms_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_LOAD_WORKLOAD_H_
