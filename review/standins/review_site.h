#ifndef GERANIUM_REVIEW_STANDINS_REVIEW_SITE_H_
#define GERANIUM_REVIEW_STANDINS_REVIEW_SITE_H_

#include <sys/types.h>

#include <boost/asio.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "standins/platform_store.h"

// A small deployment on loopback: the project's programs as separate processes,
// and stand-ins for workers, the platform and clients.

namespace review {

namespace asio = boost::asio;

using Milliseconds = std::int64_t;

/// Milliseconds of the steady clock.
Milliseconds SteadyNow();

/// Writes one line an event to record.txt, with the time since the start.
class Recorder {
 public:
  explicit Recorder(const std::string& path);
  void Write(const std::string& line);
  Milliseconds elapsed() const { return SteadyNow() - started_; }

 private:
  std::ofstream file_;
  Milliseconds started_;
};

/// One run of one task, as a worker sees it.
struct RunName {
  std::string task;
  std::uint64_t run = 0;
  auto operator<=>(const RunName&) const = default;
};

class Site;

/// A worker as the pages describe it: sized tasks under one lease, fencing,
/// numbered ends. It starts what it is told to (`rejects-overload` is false).
/// The spec of a job tells how long its tasks work: "work=MS".
class Worker {
 public:
  /// What happens to one order (`run-start` or `run-stop`).
  enum class Reply {
    kSound,
    kUnhealthy,        ///< 503, and nothing is done.
    kResetAfterOrder,  ///< Carried out; the channel is reset unanswered.
  };

  Worker(Site& site, std::size_t index, int cpu, int memory_mb);

  void Listen();
  void SendHeartbeats();
  /// Chooses the reply to the next order; sound if unset.
  std::function<Reply(const std::string& path)> choose_reply;

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  void set_agent(std::string address) { agent_ = std::move(address); }
  /// Ends what is over by now.
  void Advance();
  bool IsRunning(const std::string& task) const;

 private:
  struct Run {
    Milliseconds started_at = 0;
    Milliseconds work = 0;
    std::optional<Milliseconds> stops_at;
  };
  struct End {
    std::uint64_t number = 0;
    RunName run;
    std::string how;
  };
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(asio::ip::tcp::socket socket);
  asio::awaitable<void> Heartbeats();
  std::pair<int, std::string> Start(const std::string& body);
  std::pair<int, std::string> Stop(const std::string& body);
  asio::awaitable<std::pair<int, std::string>> Hold(std::string body);
  std::pair<int, std::string> Refuse(const std::string& reason) const;
  Milliseconds Clock() const { return SteadyNow() - born_steady_; }
  void ExtendLease(Milliseconds until);
  void Finish(const RunName& run, const std::string& how);

  Site& site_;
  std::string id_;
  std::string zone_;
  std::string rack_;
  std::string address_;
  std::string agent_;
  int cpu_;
  int memory_mb_;
  asio::ip::tcp::acceptor acceptor_;
  Milliseconds born_steady_;
  std::int64_t born_unix_ms_;
  std::uint64_t sequence_ = 0;
  std::uint64_t fencing_token_ = 0;
  Milliseconds lease_until_ = 0;
  std::map<RunName, Run> running_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::vector<End> ended_;
  std::uint64_t next_end_ = 1;
};

struct SiteOptions {
  int entries = 4;
  int workers = 11;
  int worker_cpu = 32'000;  ///< Thousandths of a core.
  int worker_memory_mb = 64'000;
};

/// A job of one step per element of `steps`; each step follows the one before.
struct JobSpec {
  struct Step {
    int count = 1;
    int cpu = 3100;
    int memory_mb = 64;
    int estimate_ms = 200;
  };
  std::vector<Step> steps;
  int work_ms = 200;  ///< How long each task really works.
};

class Site {
 public:
  Site(const std::string& record_path, SiteOptions options);
  ~Site();

  /// Runs the scenario and returns its exit code; 2 if it throws.
  int Run(std::function<asio::awaitable<int>()> scenario);

  /// Starts all processes; returns false if they aren't ready in time.
  asio::awaitable<bool> Start();
  asio::awaitable<void> Sleep(Milliseconds ms);
  asio::awaitable<geranium::HttpOutcome> Send(geranium::HttpClient& client,
                                              geranium::HttpCall call);
  geranium::HttpCall SubmitCall(int entry, const std::string& job,
                                const JobSpec& spec, int deadline_ms) const;
  geranium::HttpCall CancelCall(int entry, const std::string& job) const;
  /// One readiness check of the platform.
  asio::awaitable<bool> IsReady(int entry);
  void Signal(int entry, int signal);
  /// Starts an entry again that was killed, with the settings it had.
  void Restart(int entry);
  std::string NewJobId();

  asio::io_context& io() { return io_; }
  Recorder& recorder() { return recorder_; }
  std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }
  geranium::HttpClient& client() { return client_; }
  /// Called by workers on each start of a run, before it is added.
  std::function<void(Worker&, const RunName&)> on_start;

 private:
  struct Entry {
    std::string link, caller, ready, metrics;
  };

  std::string FreeAddress();
  void Spawn(const std::string& name, const std::string& program,
             const std::string& settings);
  void Launch(const std::string& name, const std::string& program);
  std::string Fill(const std::string& path,
                   const std::map<std::string, std::string>& values) const;

  asio::io_context io_{1};
  Recorder recorder_;
  SiteOptions options_;
  std::string folder_;
  std::set<int> used_ports_;
  std::mt19937 random_{std::random_device{}()};
  std::map<std::string, pid_t> processes_;
  geranium::HttpClient client_;
  geranium::standins::PlatformStore store_;
  std::unique_ptr<geranium::HttpServer> store_server_;
  std::string store_address_;
  std::vector<Entry> entries_;
  std::vector<std::string> agents_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::uint64_t next_job_ = 0;
};

/// False if the environment has TROUBLE=0.
bool HasTrouble();

}  // namespace review

#endif  // GERANIUM_REVIEW_STANDINS_REVIEW_SITE_H_
