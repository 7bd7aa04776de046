#include "soak/process_soak.h"

#include <cstdio>
#include <functional>
#include <stdexcept>

#include "process/eventually.h"
#include "process/step_site.h"
#include "soak/event_schedule.h"
#include "soak/fault_proxy.h"
#include "soak/process_faults.h"
#include "soak/soak_callers.h"

namespace geranium::soak {
namespace {

using process::StepSite;
using Json = StepSite::Json;

/// The platform's limit for service to recover after the last fault.
constexpr Duration kRecoveryLimit{12'000};
constexpr Duration kStartLimit{15'000};
/// As deployed: the decisions under load that are off by default.
const std::vector<std::string> kEntrySettings{
    "entry.queue_order=latest_start", "entry.refuse_late=true",
    "entry.speed_placement=true", "entry.locality_wait_percent=100",
    "entry.route_table_copies=2"};
const std::vector<std::string> kAgentSettings{"agent.capacity_hold_ms=20"};

class SoakRun {
 public:
  explicit SoakRun(const ProcessSoakOptions& options)
      : options_(options),
        site_({options.port, options.entries, options.workers, true,
               kEntrySettings, kAgentSettings}),
        faults_(options_, site_, proxy_, events_, report_) {
    RequireEventually(
        [this] {
          return site_.Publish(StepSite::Manifest(faults_.manifest_version()));
        },
        "the operator log did not accept the manifest in time");
    RequireEventually([this] { return site_.IsReady(); },
                      "the entries did not become ready in time");
  }

  ProcessSoakReport Execute() {
    std::vector<std::string> entries;
    for (int i = 0; i < options_.entries; ++i) {
      entries.push_back(site_.ProxiedAddress(site_.CallerAddress(i)));
    }
    SoakCallers callers(entries, options_.callers, options_.seed);
    callers.SetDisconnectsAllowed(!options_.is_maintenance_only);
    callers.SetImpatient(options_.has_series);
    faults_.Schedule();
    events_.RunUntil(clock_.Now() + options_.length);
    // Ends the open faults and restarts the processes that are down.
    events_.RunAll();
    CheckRecovery();
    callers.StopSubmitting();
    (void)WaitFor([&] { return callers.totals().open_jobs.empty(); },
                  kRecoveryLimit);
    CheckProcesses();
    CollectResults(callers.totals());
    return report_;
  }

 private:
  // ---- checks

  void AddViolation(const std::string& message) {
    report_.violations.push_back(message);
  }

  bool WaitFor(const std::function<bool()>& condition, Duration limit) {
    return process::Eventually(condition, limit);
  }

  void RequireEventually(const std::function<bool()>& condition,
                         const std::string& error) {
    if (!WaitFor(condition, kStartLimit)) throw std::runtime_error(error);
  }

  void CheckRecovery() {
    proxy_.HealAll();
    site_.Control("store", Json::object());
    for (int i = 0; i < options_.workers; ++i) {
      site_.Control("worker", {{"worker", i}});
    }
    int served = 0;
    const bool recovered = WaitFor(
        [&] {
          const int entry = served % options_.entries;
          char id[17];
          std::snprintf(id, sizeof(id), "ffff%012d", ++probes_);
          const auto answer = site_.Submit(entry, id, 50, 2);
          served = answer.status == 200 ? served + 1 : 0;
          return served >= 2 * options_.entries;
        },
        kRecoveryLimit);
    if (!recovered) AddViolation("not all entries recovered after the faults");
  }

  void CheckProcesses() {
    for (int i = 0; i < options_.entries; ++i) {
      CheckAlive(StepSite::EntryName(i));
    }
    for (int i = 0; i < options_.workers; ++i) {
      CheckAlive(StepSite::AgentName(i));
    }
  }

  void CheckAlive(const std::string& name) {
    if (site_.processes().HasExited(name)) AddViolation(name + " exited early");
  }

  void CollectResults(const SoakCallers::Totals& totals) {
    report_.completed = totals.completed;
    report_.refused = totals.refused;
    report_.resubmitted = totals.resubmitted;
    for (const std::string& text : totals.violations) AddViolation(text);
    for (const std::string& job : totals.open_jobs) {
      AddViolation(job + " has no final answer");
    }
    const Json worker_report = site_.FetchWorkerReport();
    for (const auto& violation : worker_report.at("violations")) {
      AddViolation(violation.get<std::string>());
    }
    for (const auto& started : worker_report.at("started")) {
      if (totals.refused_jobs.contains(started.get<std::string>())) {
        AddViolation(started.get<std::string>() +
                     " was refused but was started");
      }
    }
    if (totals.completed == 0) AddViolation("no job was completed");
  }

  ProcessSoakOptions options_;
  SystemClock clock_;
  FaultProxy proxy_;
  StepSite site_;
  EventSchedule events_;
  ProcessSoakReport report_;
  ProcessFaults faults_;
  int probes_ = 0;
};

}  // namespace

ProcessSoakReport RunProcessSoak(const ProcessSoakOptions& options) {
  return SoakRun(options).Execute();
}

}  // namespace geranium::soak
