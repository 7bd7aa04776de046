#include "soak/soak_callers.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

#include "process/step_site.h"

namespace geranium::soak {
namespace {

/// After a lost answer, as the platform's callers do.
constexpr Duration kResend{1300};
/// A caller that has nothing open waits up to this long before its next job.
constexpr std::size_t kMostPauseMs = 150;
constexpr std::size_t kMostWorkMs = 500;
constexpr std::size_t kMostTasks = 6;
constexpr Duration kCallerTimeout{6000};
/// The platform's bound: a request that is cut sooner may not have been read.
constexpr Duration kLossSlack{200};

}  // namespace

struct SoakCallers::Caller {
  explicit Caller(boost::asio::io_context& io) : client(io), timer(io) {}

  HttpClient client;
  boost::asio::steady_timer timer;
  std::size_t entry = 0;
  std::string job;
  std::string body;
  TimePoint sent;
  bool was_lost = false;  ///< A sending of the present job had no answer.
};

SoakCallers::SoakCallers(std::vector<std::string> entries, int callers,
                         std::uint64_t seed)
    : entries_(std::move(entries)),
      random_(seed),
      work_(boost::asio::make_work_guard(io_)),
      next_job_(seed << 32U) {
  for (int i = 0; i < callers; ++i) {
    callers_.push_back(std::make_unique<Caller>(io_));
    callers_.back()->entry = static_cast<std::size_t>(i) % entries_.size();
    boost::asio::post(
        io_, [this, caller = callers_.back().get()] { HandIn(*caller); });
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

void SoakCallers::Violate(const std::string& what) {
  totals_.violations.push_back(what);
}

void SoakCallers::Later(Caller& caller, Duration pause,
                        void (SoakCallers::*what)(Caller&)) {
  caller.timer.expires_after(std::chrono::milliseconds(pause.ms()));
  caller.timer.async_wait([this, &caller, what](const auto& error) {
    if (!error) (this->*what)(caller);
  });
}

void SoakCallers::HandIn(Caller& caller) {
  if (stopping_) return;
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(++next_job_));
  caller.job = id;
  caller.body = process::StepSite::JobBody(
      static_cast<int>(20 + random_.Below(kMostWorkMs)),
      static_cast<int>(1 + random_.Below(kMostTasks)));
  caller.was_lost = false;
  ++open_;
  Send(caller);
}

void SoakCallers::Send(Caller& caller) {
  caller.sent = SystemClock().Now();
  HttpCall call;
  call.address = entries_[caller.entry];
  call.method = "POST";
  call.target = "/desk/" + caller.job;
  call.body = caller.body;
  call.headers["Host"] = "callers.example";
  call.headers["Request-Deadline"] = std::to_string(kCallerTimeout.ms());
  call.timeout = kCallerTimeout;
  call.retry_on_broken_connection = false;  // Only after kResend, see OnAnswer.
  caller.client.Start(std::move(call), [this, &caller](const HttpOutcome& out) {
    OnAnswer(caller, out);
  });
}

void SoakCallers::OnAnswer(Caller& caller, const HttpOutcome& outcome) {
  const std::lock_guard lock(mutex_);
  const int status =
      outcome.failure == HttpFailure::kNone ? outcome.response.status : 0;
  if (status == 200 || status == 503) {
    --open_;
    if (status == 503) {
      ++totals_.refused;
      if (!caller.was_lost) totals_.refused_jobs.insert(caller.job);
    } else if (outcome.response.body == R"({"state":"completed"})") {
      ++totals_.completed;
    } else {
      Violate(caller.job + " is answered " + outcome.response.body);
    }
    Later(caller,
          Duration(static_cast<std::int64_t>(1 + random_.Below(kMostPauseMs))),
          &SoakCallers::HandIn);
    return;
  }
  if (status != 0 && status != 504 && status != 502) {
    Violate(caller.job + " is answered " + std::to_string(status));
  }
  const bool was_cut = outcome.failure == HttpFailure::kNoAnswer &&
                       SystemClock().Now() - caller.sent > kLossSlack;
  if (was_cut && !cuts_allowed_) {
    Violate(caller.job + " was cut off at " + entries_[caller.entry] + ": " +
            outcome.message);
  }
  // One that never reached its entry may be handed in elsewhere at once.
  const bool unsent = outcome.failure == HttpFailure::kNotConnected;
  caller.was_lost = caller.was_lost || !unsent;
  ++totals_.sent_again;
  caller.entry = (caller.entry + 1) % entries_.size();
  Later(caller, unsent ? Duration(50) : kResend, &SoakCallers::Send);
}

}  // namespace geranium::soak
