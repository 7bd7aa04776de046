#ifndef GERANIUM_REVIEW_STANDINS_3_SITE_H_
#define GERANIUM_REVIEW_STANDINS_3_SITE_H_

// clang-format off
#include <utility>  // Before Boost.Asio 1.74, which needs std::exchange.
// clang-format on

#include <sys/types.h>

#include <boost/asio.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "../../standins/platform_store.h"
#include "../../standins/sized_worker.h"
#include "base/clock.h"
#include "client.h"
#include "network.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace review {

using Json = nlohmann::json;

struct SiteOptions {
  int entries = 4;
  int workers = 11;
  double worker_cores = 32;
  std::string folder;  ///< Of the case: gets record.txt.
};

/// A start or an end of a run as its worker saw it.
struct RunSpan {
  std::string task;
  std::uint64_t run = 0;
  int worker = 0;
  std::int64_t began_ms = 0;
  std::int64_t ended_ms = -1;  ///< -1: still at work.
};

/// A small deployment on loopback: the project's programs with the commands
/// and templates of the deploy file, stand-ins of the workers, of the
/// platform's store and of clients. Each entry and the store stand behind a
/// forwarder.
class Site {
 public:
  explicit Site(SiteOptions options);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  asio::io_context& io() { return io_; }
  std::int64_t NowMs() const { return (clock_.Now() - started_).ms(); }
  /// Lets the site run for this long.
  void RunFor(int ms);
  /// Waits until all entries are ready; false after `ms`.
  bool AwaitReady(int ms);
  void Note(const std::string& text);

  void Publish(const Json& manifest);
  /// Cuts machines off; null heals all paths.
  void SetCut(IsCut cut) { cut_ = std::move(cut); }
  void Signal(const std::string& machine, int signal);
  /// Ends a process at once; `Restart` starts a new one.
  void Kill(const std::string& machine);
  void Restart(const std::string& machine);

  std::shared_ptr<Request> Send(int entry, const std::string& who,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body,
                                int request_deadline_ms, Request::OnEnd on_end);

  std::string Entry(int i) const { return "entry-" + std::to_string(i); }
  std::string Agent(int i) const { return "agent-" + std::to_string(i); }
  geranium::standins::SizedWorker& worker(int i) {
    return *workers_.at(static_cast<std::size_t>(i))->model;
  }
  /// Lists the runs again, with those that have ended since.
  const std::vector<RunSpan>& Runs();

  struct Overlap {
    RunSpan first;
    RunSpan second;
    std::int64_t ms = 0;
  };
  /// Pairs of runs of one task that were at work at the same time.
  std::vector<Overlap> FindOverlaps();

 private:
  using ExchangePtr = std::shared_ptr<geranium::HttpExchange>;

  struct Worker {
    int index = 0;
    std::unique_ptr<geranium::standins::SizedWorker> model;
    std::unique_ptr<geranium::HttpServer> server;
    std::unique_ptr<asio::steady_timer> heartbeat;
  };

  unsigned short Port(int kind, int index) const;
  std::string Address(int kind, int index) const;
  void Spawn(const std::string& machine, const std::string& program,
             const std::string& settings);
  std::string EntrySettings(int i) const;
  std::string AgentSettings(int i) const;
  std::string Seeds() const;
  void AddForwarder(const std::string& machine, int from_kind, int to_kind,
                    int index);
  void AddWorker(int i);
  void SendHeartbeat(Worker& worker);
  void OnCall(Worker& worker, const ExchangePtr& exchange);
  void Hold(Worker& worker, const ExchangePtr& exchange, const Json& body,
            geranium::TimePoint until);
  void UpdateRuns();
  /// The process has ended: its id is not to be signalled any more.
  static void Forget(pid_t pid);

  SiteOptions options_;
  geranium::SystemClock clock_;
  geranium::TimePoint started_;
  asio::io_context io_;
  std::ofstream record_;
  std::string temporary_;
  unsigned short base_port_ = 0;
  Origins origins_;
  IsCut cut_;
  IsCut is_cut_;
  std::map<std::string, pid_t> pids_;
  std::map<std::string, std::pair<std::string, std::string>> programs_;
  std::vector<std::shared_ptr<Forwarder>> forwarders_;
  std::unique_ptr<geranium::standins::PlatformStore> store_;
  std::unique_ptr<geranium::HttpServer> store_server_;
  std::unique_ptr<geranium::HttpClient> http_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<geranium::TaskName, geranium::standins::TaskBehaviour> behaviours_;
  std::vector<RunSpan> runs_;
};

}  // namespace review

#endif  // GERANIUM_REVIEW_STANDINS_3_SITE_H_
