// Case: an entry is killed and comes back. A client whose job it had sends the
// job again to another entry, and cancels it later through the platform, which
// forwards the new channel to the first entry.

#include <csignal>

#include "review_site.h"

namespace review {
namespace {

constexpr int kSteps = 40;
constexpr int kStepMs = 300;
constexpr int kDeadlineMs = 20'000;
constexpr Milliseconds kResendMs = 1300;  // resend-ms
constexpr Milliseconds kCancelMs = 3000;  // cancel_ms
constexpr Milliseconds kRestartDelayMs = 300;

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}

  asio::awaitable<int> Play() {
    if (!co_await site_.Start()) co_return 2;
    site_.on_start = [this](Worker&, const RunName& run) { OnStart(run); };
    job_ = site_.NewJobId();
    asio::co_spawn(site_.io(), Submit(), asio::detached);
    co_await site_.Sleep(500);
    if (starts_ == 0) co_return 2;
    if (HasTrouble()) {
      site_.Signal(kFirst, SIGKILL);
      co_await site_.Sleep(kRestartDelayMs);
      site_.Restart(kFirst);
    }
    // The platform checks readiness once a second.
    co_await site_.Sleep(2000);
    int checks = 0;
    while (!co_await site_.IsReady(kFirst)) {
      if (++checks > 10) co_return 2;
      co_await site_.Sleep(1000);
    }
    co_await site_.Sleep(1000);
    if (is_over_) co_return 2;
    const auto cancelled =
        co_await site_.Send(site_.client(), site_.CancelCall(kFirst, job_));
    if (cancelled.failure != geranium::HttpFailure::kNone) co_return 2;
    cancelled_at_ = SteadyNow();
    site_.recorder().Write("DELETE of job " + job_ + " at entry-" +
                           std::to_string(kFirst) + ": " +
                           std::to_string(cancelled.response.status) + " " +
                           cancelled.response.body);
    const int status = cancelled.response.status;
    if (status != 410 && (status < 200 || status > 299)) co_return 2;
    co_await site_.Sleep(kCancelMs + 5000);
    site_.recorder().Write(std::to_string(late_starts_) +
                           " starts later than cancel_ms after the answer");
    co_return late_starts_ > 0 ? 1 : 0;
  }

 private:
  static constexpr int kFirst = 0;
  static constexpr int kOther = 1;

  void OnStart(const RunName& run) {
    if (run.task.rfind(job_, 0) != 0) return;
    ++starts_;
    if (!cancelled_at_ || SteadyNow() <= *cancelled_at_ + kCancelMs) return;
    ++late_starts_;
    site_.recorder().Write("RULE BROKEN: " + run.task + " starts " +
                           std::to_string(SteadyNow() - *cancelled_at_) +
                           " ms after the answer to the cancelling");
  }

  asio::awaitable<void> Submit() {
    JobSpec job;
    for (int i = 0; i < kSteps; ++i) {
      job.steps.push_back({1, 3100, 64, kStepMs});
    }
    job.work_ms = kStepMs;
    for (const int entry : {kFirst, kOther}) {
      site_.recorder().Write("sends job " + job_ + " to entry-" +
                             std::to_string(entry));
      const auto outcome = co_await site_.Send(
          site_.client(), site_.SubmitCall(entry, job_, job, kDeadlineMs));
      const bool answered = outcome.failure == geranium::HttpFailure::kNone;
      const int status = answered ? outcome.response.status : 0;
      site_.recorder().Write(
          "job " + job_ + " at entry-" + std::to_string(entry) + ": " +
          std::to_string(status) + " " +
          (answered ? outcome.response.body : outcome.message));
      if (status != 0 && status != 502 && status != 504) break;
      co_await site_.Sleep(kResendMs);
    }
    is_over_ = true;
  }

  Site& site_;
  std::string job_;
  int starts_ = 0;
  int late_starts_ = 0;
  bool is_over_ = false;
  std::optional<Milliseconds> cancelled_at_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  review::Site site(argv[1], {});
  review::Case played(site);
  return site.Run([&] { return played.Play(); });
}
