#ifndef GERANIUM_TESTS_SOAK_SOAK_CALLERS_H_
#define GERANIUM_TESTS_SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "runtime/http_client.h"

namespace geranium::soak {

/// Callers that each hand in one job after the other over a connection that
/// they keep until it breaks, and send a job again whose answer was lost.
class SoakCallers {
 public:
  struct Totals {
    int completed = 0;
    int refused = 0;
    int sent_again = 0;
    std::set<std::string> refused_jobs;  ///< Of which every sending was.
    std::vector<std::string> violations;
  };

  /// `entries` are the addresses for callers.
  SoakCallers(std::vector<std::string> entries, int callers,
              std::uint64_t seed);
  ~SoakCallers();

  /// Whether a request that is cut off counts as a violation from now on.
  void SetCutsAllowed(bool allowed) { cuts_allowed_ = allowed; }
  void StopHandingIn() { stopping_ = true; }
  /// Jobs without a final answer.
  int open() const { return open_; }
  Totals totals() const;

 private:
  struct Caller;

  void HandIn(Caller& caller);
  void Send(Caller& caller);
  void OnAnswer(Caller& caller, const HttpOutcome& outcome);
  void Later(Caller& caller, Duration pause,
             void (SoakCallers::*what)(Caller&));
  void Violate(const std::string& what);

  std::vector<std::string> entries_;
  Random random_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::uint64_t next_job_;
  std::atomic<bool> cuts_allowed_ = true;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> open_ = 0;
  mutable std::mutex mutex_;  ///< Guards totals_.
  Totals totals_;
  std::thread thread_;
};

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_SOAK_CALLERS_H_
