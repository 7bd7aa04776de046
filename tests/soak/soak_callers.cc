#include "soak/soak_callers.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

#include "process/step_site.h"

namespace geranium::soak {
namespace {

/// The delay of the platform's callers after a lost answer.
constexpr Duration kRetryDelay{1300};
/// Upper bound of the pause between two jobs of a caller.
constexpr std::size_t kMaxPauseMs = 150;
constexpr std::size_t kMaxWorkMs = 500;
constexpr std::size_t kMaxTasks = 6;
constexpr Duration kCallerTimeout{6000};
constexpr Duration kImpatientTimeout{1500};
/// The platform's limit: a request cut off sooner may not have been read.
constexpr Duration kUnreadRequestWindow{200};

}  // namespace

struct SoakCallers::Caller {
  explicit Caller(boost::asio::io_context& io) : client(io), timer(io) {}

  HttpClient client;
  boost::asio::steady_timer timer;
  std::size_t entry = 0;
  std::string job;
  std::string body;
  TimePoint sent_at;
  bool answer_lost = false;  ///< At a submission of the current job.
};

SoakCallers::SoakCallers(std::vector<std::string> entries, int callers,
                         std::uint64_t seed)
    : entries_(std::move(entries)),
      random_(seed),
      work_guard_(boost::asio::make_work_guard(io_)),
      next_job_(seed << 32U) {
  for (int i = 0; i < callers; ++i) {
    callers_.push_back(std::make_unique<Caller>(io_));
    callers_.back()->entry = static_cast<std::size_t>(i) % entries_.size();
    boost::asio::post(
        io_, [this, caller = callers_.back().get()] { SubmitJob(*caller); });
  }
  thread_ = std::thread([this] { io_.run(); });
}

SoakCallers::~SoakCallers() {
  io_.stop();
  thread_.join();
}

SoakCallers::Totals SoakCallers::totals() const {
  const std::lock_guard lock(mutex_);
  return totals_;
}

void SoakCallers::AddViolation(const std::string& message) {
  totals_.violations.push_back(message);
}

void SoakCallers::ScheduleAfter(Caller& caller, Duration delay,
                                void (SoakCallers::*next)(Caller&)) {
  caller.timer.expires_after(std::chrono::milliseconds(delay.ms()));
  caller.timer.async_wait([this, &caller, next](const auto& error) {
    if (!error) (this->*next)(caller);
  });
}

void SoakCallers::SubmitJob(Caller& caller) {
  if (stopped_) return;
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(++next_job_));
  caller.job = id;
  caller.body = RandomJob();
  caller.answer_lost = false;
  {
    const std::lock_guard lock(mutex_);
    totals_.open_jobs.insert(caller.job);
  }
  Send(caller);
}

std::string SoakCallers::RandomJob() {
  if (!impatient_) {
    return process::StepSite::JobBody(
        static_cast<int>(20 + random_.Below(kMaxWorkMs)),
        static_cast<int>(1 + random_.Below(kMaxTasks)));
  }
  // Work in milliseconds and number of tasks.
  constexpr std::array<std::pair<int, int>, 3> kKinds = {
      {{60, 8}, {900, 4}, {200, 2}}};
  const auto& [work_ms, tasks] = kKinds[random_.Below(kKinds.size())];
  return process::StepSite::JobBody(work_ms, tasks);
}

void SoakCallers::Send(Caller& caller) {
  const Duration timeout = impatient_ ? kImpatientTimeout : kCallerTimeout;
  caller.sent_at = SystemClock().Now();
  HttpCall call;
  call.address = entries_[caller.entry];
  call.method = "POST";
  call.target = "/desk/" + caller.job;
  call.body = caller.body;
  call.headers["Host"] = "callers.example";
  call.headers["Request-Deadline"] = std::to_string(timeout.ms());
  call.timeout = timeout;
  call.retry_on_broken_connection = false;  // See kRetryDelay.
  caller.client.Start(std::move(call), [this, &caller](const HttpOutcome& out) {
    OnAnswer(caller, out);
  });
}

void SoakCallers::OnAnswer(Caller& caller, const HttpOutcome& outcome) {
  const std::lock_guard lock(mutex_);
  const int status =
      outcome.failure == HttpFailure::kNone ? outcome.response.status : 0;
  if (status == 200 || status == 503) {
    totals_.open_jobs.erase(caller.job);
    if (status == 503) {
      ++totals_.refused;
      if (!caller.answer_lost) totals_.refused_jobs.insert(caller.job);
    } else if (outcome.response.body == R"({"state":"completed"})") {
      ++totals_.completed;
    } else {
      AddViolation(caller.job + " got unexpected answer " +
                   outcome.response.body);
    }
    ScheduleAfter(
        caller,
        Duration(static_cast<std::int64_t>(1 + random_.Below(kMaxPauseMs))),
        &SoakCallers::SubmitJob);
    return;
  }
  if (status != 0 && status != 504 && status != 502) {
    AddViolation(caller.job + " got unexpected status " +
                 std::to_string(status));
  }
  const bool was_disconnected =
      outcome.failure == HttpFailure::kNoAnswer &&
      SystemClock().Now() - caller.sent_at > kUnreadRequestWindow;
  if (was_disconnected && !disconnects_allowed_) {
    AddViolation(caller.job + " lost its connection to " +
                 entries_[caller.entry] + ": " + outcome.message);
  }
  // A job that never reached its entry may go to another one at once.
  const bool not_connected = outcome.failure == HttpFailure::kNotConnected;
  caller.answer_lost = caller.answer_lost || !not_connected;
  ++totals_.resubmitted;
  caller.entry = impatient_ ? random_.Below(entries_.size())
                            : (caller.entry + 1) % entries_.size();
  ScheduleAfter(caller, not_connected ? Duration(50) : kRetryDelay,
                &SoakCallers::Send);
}

}  // namespace geranium::soak
