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

/// Callers that each submit one job after the other over a kept-alive
/// connection and resubmit a job whose answer was lost.
class SoakCallers {
 public:
  struct Totals {
    int completed = 0;
    int refused = 0;
    int resubmitted = 0;
    std::set<std::string> refused_jobs;  ///< At every submission.
    std::set<std::string> open_jobs;     ///< Without a final answer.
    std::vector<std::string> violations;
  };

  /// `entries` are the entries' caller addresses.
  SoakCallers(std::vector<std::string> entries, int callers,
              std::uint64_t seed);
  ~SoakCallers();

  /// A connection lost with a request open is a violation unless allowed.
  void SetDisconnectsAllowed(bool allowed) { disconnects_allowed_ = allowed; }
  /// Callers send the kinds of job of the users' sites, wait for an answer for
  /// their time limit, and then go to any entry.
  void SetImpatient(bool impatient) { impatient_ = impatient; }
  void StopSubmitting() { stopped_ = true; }
  Totals totals() const;

 private:
  struct Caller;

  void SubmitJob(Caller& caller);
  std::string RandomJob();
  void Send(Caller& caller);
  void OnAnswer(Caller& caller, const HttpOutcome& outcome);
  void ScheduleAfter(Caller& caller, Duration delay,
                     void (SoakCallers::*next)(Caller&));
  void AddViolation(const std::string& message);

  std::vector<std::string> entries_;
  Random random_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::uint64_t next_job_;
  std::atomic<bool> disconnects_allowed_ = true;
  std::atomic<bool> impatient_ = false;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex mutex_;  ///< Guards totals_.
  Totals totals_;
  std::thread thread_;
};

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_SOAK_CALLERS_H_
