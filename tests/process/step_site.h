#ifndef GERANIUM_TESTS_PROCESS_STEP_SITE_H_
#define GERANIUM_TESTS_PROCESS_STEP_SITE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process/process_group.h"
#include "runtime/http_client.h"

namespace geranium::process {

struct StepSiteOptions {
  int port = 0;  ///< The first of those that the site uses: `CountPorts`.
  int entries = 2;
  int workers = 3;
  /// Processes reach each other through a proxy, at other ports.
  bool is_proxied = false;
  /// Further settings of all entries or agents, each "SECTION.KEY=VALUE".
  std::vector<std::string> entry_settings = {};
  std::vector<std::string> agent_settings = {};
};

/// Entries and agents as real processes on loopback, with a stand-in for the
/// platform: its workers and its operator log.
class StepSite {
 public:
  using Json = nlohmann::json;

  explicit StepSite(StepSiteOptions options);
  /// Number of consecutive ports that a site of this size uses.
  static int CountPorts(int entries, int workers);

  void StartEntry(int entry);
  void StartAgent(int worker);
  bool Publish(const std::string& manifest) const;
  /// Whether all entries report ready.
  bool IsReady() const;

  HttpResponse Send(const std::string& address, const std::string& method,
                    const std::string& target, const std::string& body) const;
  HttpResponse Submit(int entry, const std::string& id, int work_ms,
                      int tasks = 4) const;
  /// Sets faults or values of the platform stand-in; returns the HTTP status.
  int Control(const std::string& resource, const Json& body) const;
  /// What the modelled workers observed: `starts`, `started`, `violations`.
  Json FetchWorkerReport() const;

  static std::string Manifest(int version,
                              const std::string& prefix = "/desk/");
  static std::string JobBody(int work_ms, int tasks);
  static std::string EntryName(int entry);
  static std::string AgentName(int worker);

  ProcessGroup& processes() { return processes_; }
  const StepSiteOptions& options() const { return options_; }

  // Where the processes listen.
  std::string StoreAddress() const { return Address(0, 0); }
  std::string LinkAddress(int entry) const { return Address(1, entry); }
  std::string CallerAddress(int entry) const { return Address(2, entry); }
  std::string ReadyAddress(int entry) const { return Address(3, entry); }
  std::string RegistrationAddress(int worker) const {
    return Address(4, worker);
  }
  std::string WorkerAddress(int worker) const { return Address(5, worker); }
  std::string EntryMetricsAddress(int entry) const { return Address(6, entry); }
  std::string AgentMetricsAddress(int worker) const {
    return Address(7, worker);
  }
  /// Where other processes reach the listener at `address`; the store has one
  /// such address for each entry.
  std::string ProxiedAddress(const std::string& address) const;
  std::string StoreAddressFor(int entry) const;

 private:
  std::string Address(int kind, int index) const;
  std::string Seeds() const;

  StepSiteOptions options_;
  int stride_;  ///< Ports of each kind of listener.
  ProcessGroup processes_;
};

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_STEP_SITE_H_
