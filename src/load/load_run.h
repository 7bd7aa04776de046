#ifndef GERANIUM_LOAD_LOAD_RUN_H_
#define GERANIUM_LOAD_LOAD_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

#include "load/load_report.h"
#include "load/workload.h"
#include "runtime/http_client.h"

namespace geranium {

struct LoadOptions {
  WorkloadOptions workload;
  std::vector<std::string> entries;  ///< HTTP addresses, used round-robin.
  double offered_load = 40;          ///< In busy slots.
  Duration length{10'000};
  Duration warm_up{2000};      ///< Load sent first, not reported.
  double round_trip_ms = 1.0;  ///< Network time, part of the ideal.
  Duration timeout{60'000};
  Duration deadline{30'000};
};

/// Generates open-loop load: submissions are sent on schedule whether or not
/// earlier ones were answered.
class LoadRun {
 public:
  explicit LoadRun(LoadOptions options);

  /// Runs to the end and waits for the answers.
  LoadReport Run();

 private:
  void ScheduleNext();
  void Submit(const WorkItem& item);
  HttpCall MakeCall(const WorkItem& item);
  void OnAnswer(const WorkItem& item, double sent_ms, bool counted,
                const HttpOutcome& outcome);
  void CountComplete(const WorkItem& item, double sent_ms, KindReport& report);
  EntryCounters ScrapeEntries() const;
  void ScrapeRunSecondsAfter(Duration after, double& sum);

  LoadOptions options_;
  Workload workload_;
  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  HttpClient http_;
  double begin_ms_ = 0;
  double next_ms_ = 0;
  std::size_t next_entry_ = 0;
  std::size_t outstanding_ = 0;
  double run_seconds_at_begin_ = 0;
  double run_seconds_at_end_ = 0;
  LoadReport report_;
};

}  // namespace geranium

#endif  // GERANIUM_LOAD_LOAD_RUN_H_
