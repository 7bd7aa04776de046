#ifndef GERANIUM_LOAD_LOAD_REPORT_H_
#define GERANIUM_LOAD_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/workload.h"

namespace geranium {

/// Results of one kind of work.
struct KindReport {
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t ran_failed = 0;
  std::uint64_t no_answer = 0;   ///< Connection failed or timed out.
  std::uint64_t mismatched = 0;  ///< Answer to a different request.
  std::map<std::string, std::uint64_t> error_codes;
  std::vector<double> ratios;        ///< Response time / ideal, if complete.
  std::vector<double> overheads_ms;  ///< Response time minus ideal.

  std::uint64_t answered() const {
    return complete + not_run + may_have_run + ran_failed;
  }
};

/// Sums of the metrics of all entries, or their increase over a run.
struct EntryCounters {
  double messages = 0;
  double wasted = 0;
  double grants = 0;
  double run_seconds = 0;
  double cpu_seconds = 0;
  double hedges = 0;
  double in_doubt = 0;
  double violations = 0;
};

struct LoadReport {
  std::array<KindReport, kWorkKinds> kinds;
  EntryCounters entries;
  double offered_slots = 0;
  double work_done_slots = 0;  ///< Within the run, in busy slots.
  /// Work of complete answers in each second, in slots.
  std::vector<double> work_by_second;

  /// True if every submission got its own answer and no invariant was violated.
  bool IsAccountedFor() const;
};

/// The q-quantile of `values`; 0 if there are none.
double Quantile(std::vector<double> values, double q);

std::string ToTable(const LoadReport& report);
nlohmann::json ToJson(const LoadReport& report);

}  // namespace geranium

#endif  // GERANIUM_LOAD_LOAD_REPORT_H_
