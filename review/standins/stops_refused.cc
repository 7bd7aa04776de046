// Case: one worker of eleven answers 503 to all orders for a while; its list of
// runs is served, and what runs there goes on. Meanwhile an entry is killed,
// and its callers send their jobs again to the others.

#include <csignal>

#include "review_site.h"

namespace review {
namespace {

constexpr int kJobs = 12;
constexpr int kTasks = 4;
constexpr int kWorkMs = 3500;
constexpr int kDeadlineMs = 9000;
constexpr Milliseconds kResendMs = 1300;  // resend-ms
constexpr Milliseconds kUnhealthyMs = 5500;
constexpr Milliseconds kRestartDelayMs = 3500;

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}

  asio::awaitable<int> Play() {
    if (!co_await site_.Start()) co_return 2;
    site_.on_start = [this](Worker& worker, const RunName& run) {
      OnStart(worker, run);
    };
    for (int i = 0; i < kJobs; ++i) {
      asio::co_spawn(site_.io(), SubmitOne(), asio::detached);
    }
    co_await site_.Sleep(300);
    Worker& unhealthy = *site_.workers().front();
    if (HasTrouble()) {
      site_.recorder().Write(unhealthy.id() + " is unhealthy from now on");
      unhealthy.choose_reply = [](const std::string&) {
        return Worker::Reply::kUnhealthy;
      };
      co_await site_.Sleep(100);
      site_.Signal(kEntry, SIGKILL);
    }
    co_await site_.Sleep(kRestartDelayMs);
    if (HasTrouble()) site_.Restart(kEntry);
    co_await site_.Sleep(kUnhealthyMs - kRestartDelayMs);
    unhealthy.choose_reply = nullptr;
    co_await site_.Sleep(kDeadlineMs - kUnhealthyMs + kResendMs);
    site_.recorder().Write(
        std::to_string(starts_) + " starts, " + std::to_string(completed_) +
        " of " + std::to_string(kJobs) + " jobs completed, " +
        std::to_string(violations_) + " starts of a task that was running");
    if (starts_ < kJobs * kTasks) co_return 2;
    co_return violations_ > 0 ? 1 : 0;
  }

 private:
  static constexpr int kEntry = 0;

  void OnStart(Worker& worker, const RunName& run) {
    ++starts_;
    for (const auto& other : site_.workers()) {
      other->Advance();
      if (!other->IsRunning(run.task)) continue;
      ++violations_;
      site_.recorder().Write("RULE BROKEN: " + run.task + " run " +
                             std::to_string(run.run) + " starts on " +
                             worker.id() + " while it runs on " + other->id());
    }
  }

  asio::awaitable<void> SubmitOne() {
    const std::string id = site_.NewJobId();
    JobSpec job;
    job.steps = {{kTasks, 3100, 64, kWorkMs}};
    job.work_ms = kWorkMs;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const int entry = kEntry + attempt;
      site_.recorder().Write("sends job " + id + " to entry-" +
                             std::to_string(entry));
      const auto outcome = co_await site_.Send(
          site_.client(), site_.SubmitCall(entry, id, job, kDeadlineMs));
      const bool answered = outcome.failure == geranium::HttpFailure::kNone;
      const int status = answered ? outcome.response.status : 0;
      site_.recorder().Write(
          "job " + id + " at entry-" + std::to_string(entry) + ": " +
          std::to_string(status) + " " +
          (answered ? outcome.response.body : outcome.message));
      if (status == 200) ++completed_;
      if (status != 0 && status != 502 && status != 504) co_return;
      co_await site_.Sleep(kResendMs);
    }
  }

  Site& site_;
  int starts_ = 0;
  int completed_ = 0;
  int violations_ = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  review::Site site(argv[1], {});
  review::Case played(site);
  return site.Run([&] { return played.Play(); });
}
