#ifndef GERANIUM_TESTS_PROCESS_PROCESS_SITE_H_
#define GERANIUM_TESTS_PROCESS_PROCESS_SITE_H_

#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "operator/site_client.h"
#include "process/eventually.h"
#include "process/process_group.h"
#include "runtime/http_client.h"

namespace geranium::process {

using Json = nlohmann::json;

/// An HTTP answer; status 0 if none arrived.
struct Answer {
  int status = 0;
  Json body;

  bool IsComplete() const { return status == 200; }
  std::string Execution() const;
};

/// A small site of real processes on loopback: 2 entries, and a backend server
/// and an agent for each of 4 workers in 2 data centres. Kills its processes
/// when destroyed.
class ProcessSite {
 public:
  static constexpr int kEntries = 2;
  static constexpr int kWorkers = 4;

  /// `port` is the first of 400 that the site may use.
  explicit ProcessSite(int port);
  ProcessSite(const ProcessSite&) = delete;
  ProcessSite& operator=(const ProcessSite&) = delete;

  void StartEntry(int entry);
  void StartAgent(int worker);
  /// Waits until every entry has a current configuration and this many
  /// answering workers.
  void AwaitWorkers(std::size_t workers);

  void Signal(const std::string& name, int signal) {
    processes_.Signal(name, signal);
  }
  int AwaitExit(const std::string& name) { return processes_.AwaitExit(name); }

  Answer Call(const std::string& address, const std::string& method,
              const std::string& target, const Json& body = Json(),
              std::map<std::string, std::string> headers = {}) const;
  Answer Request(int entry, const std::string& service, int run_ms,
                 const std::string& id, const std::string& key = "") const;
  std::future<Answer> RequestAsync(int entry, const std::string& service,
                                   int run_ms, const std::string& id,
                                   const std::string& key = "") const;
  /// A job of `tasks` tasks with the ids "ID/0", "ID/1" and so on.
  std::future<Answer> SubmitJobAsync(int entry, int tasks, int run_ms,
                                     const std::string& id) const;

  /// Number of starts of tasks whose id begins with `id`, as recorded by the
  /// backend servers; `worker` 0 stands for all workers.
  int CountStarts(const std::string& id, int worker = 0) const;
  /// The largest number of starts of any one task whose id begins with `id`.
  int MaxStartsPerTask(const std::string& id) const;
  void SetBackendFault(int worker, const std::string& mode) const;
  void SetLogFault(const std::string& mode) const;
  double CountViolations() const;
  /// Number of submissions that the entry has admitted since its start.
  int CountAdmitted(int entry) const;

  SiteClient OperatorClient() const;
  ChangeOutcome SetDataCentre(const std::string& name, bool in) const;

  std::string LogAddress() const { return Address(0); }
  std::string EntryHttpAddress(int entry) const { return Address(entry); }
  std::string EntryLinkAddress(int entry) const { return Address(100 + entry); }
  std::string AgentHttpAddress(int worker) const {
    return Address(300 + worker);
  }
  std::string BackendAddress(int worker) const { return Address(200 + worker); }

 private:
  std::string Address(int offset) const;
  Json FetchStarts(int worker) const;

  int port_;
  ProcessGroup processes_;
};

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_PROCESS_SITE_H_
