// Case: one worker of eleven fails part of its orders for a while. Some it
// answers with 503, others it carries out and resets the channel unanswered.

#include <csignal>
#include <random>

#include "review_site.h"

namespace review {
namespace {

constexpr Milliseconds kTroubleMs = 6500;
constexpr Milliseconds kCalmMs = 2000;
constexpr Milliseconds kArrivalGapMs = 20;
constexpr int kDeadlineMs = 1500;
constexpr Milliseconds kResendMs = 1300;  // resend-ms
/// Share of the orders that the worker fails while it is unhealthy.
constexpr double kFailedShare = 0.4;

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}

  asio::awaitable<int> Play() {
    site_.on_start = [this](Worker& worker, const RunName& run) {
      OnStart(worker, run);
    };
    if (!co_await site_.Start()) co_return 2;
    asio::co_spawn(site_.io(), Submit(), asio::detached);
    co_await site_.Sleep(kCalmMs);
    Worker& unhealthy = *site_.workers().front();
    if (HasTrouble()) {
      site_.recorder().Write(unhealthy.id() + " is unhealthy from now on");
      unhealthy.choose_reply = [this](const std::string&) { return Draw(); };
    }
    co_await site_.Sleep(kTroubleMs);
    unhealthy.choose_reply = nullptr;
    site_.recorder().Write(unhealthy.id() + " is sound from now on");
    co_await site_.Sleep(kCalmMs);
    submitting_ = false;
    co_await site_.Sleep(kDeadlineMs + kResendMs);
    site_.recorder().Write(std::to_string(starts_) + " starts, " +
                           std::to_string(completed_) + " jobs completed, " +
                           std::to_string(violations_) +
                           " starts of a task that was running");
    if (completed_ == 0) co_return 2;
    co_return violations_ > 0 ? 1 : 0;
  }

 private:
  Worker::Reply Draw() {
    std::uniform_real_distribution<double> uniform(0, 1);
    const double drawn = uniform(random_);
    if (drawn < kFailedShare / 2) return Worker::Reply::kUnhealthy;
    if (drawn < kFailedShare) return Worker::Reply::kResetAfterOrder;
    return Worker::Reply::kSound;
  }

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

  asio::awaitable<void> Submit() {
    int next = 0;
    while (submitting_) {
      asio::co_spawn(site_.io(), SubmitOne(next++), asio::detached);
      co_await site_.Sleep(kArrivalGapMs);
    }
  }

  asio::awaitable<void> SubmitOne(int number) {
    const std::string id = site_.NewJobId();
    JobSpec job;
    job.steps = {{4, 3100, 64, 200}};
    job.work_ms = 200;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const int entry = (number + attempt) % 4;
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
  std::mt19937_64 random_{std::random_device{}()};
  bool submitting_ = true;
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
