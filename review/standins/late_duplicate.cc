// Case: a client's channel breaks, it sends its job again, and cancels it. A
// late copy of the job arrives at another entry seconds after the answer.

#include "review_site.h"

namespace review {
namespace {

constexpr int kDeadlineMs = 1500;
constexpr int kBrokenAfterMs = 200;
constexpr Milliseconds kResendMs = 1300;  // resend-ms
constexpr Milliseconds kCancelMs = 3000;  // cancel_ms
constexpr Milliseconds kCopyAfterMs = 3500;

asio::awaitable<int> Play(Site& site) {
  if (!co_await site.Start()) co_return 2;
  const std::string id = site.NewJobId();
  std::optional<Milliseconds> cancelled_at;
  int starts = 0;
  int late_starts = 0;
  site.on_start = [&](Worker&, const RunName& run) {
    if (run.task.rfind(id, 0) != 0) return;
    ++starts;
    if (!cancelled_at || SteadyNow() <= *cancelled_at + kCancelMs) return;
    ++late_starts;
    site.recorder().Write("RULE BROKEN: " + run.task + " starts " +
                          std::to_string(SteadyNow() - *cancelled_at) +
                          " ms after its job's cancelling was answered");
  };
  const auto write = [&](const std::string& what,
                         const geranium::HttpOutcome& outcome) {
    const bool answered = outcome.failure == geranium::HttpFailure::kNone;
    site.recorder().Write(what + ": " +
                          (answered ? std::to_string(outcome.response.status) +
                                          " " + outcome.response.body
                                    : "no answer, " + outcome.message));
  };
  JobSpec job;
  job.steps = {{4, 3100, 64, 900}};
  job.work_ms = 900;

  geranium::HttpCall first = site.SubmitCall(0, id, job, kDeadlineMs);
  first.timeout = geranium::Duration(kBrokenAfterMs);
  write("job " + id + " at entry-0, channel broken after 200 ms",
        co_await site.Send(site.client(), first));
  co_await site.Sleep(kResendMs);
  bool is_answered = false;
  asio::co_spawn(
      site.io(),
      [&]() -> asio::awaitable<void> {
        const auto second = co_await site.Send(
            site.client(), site.SubmitCall(1, id, job, kDeadlineMs));
        write("job " + id + " sent again to entry-1", second);
        is_answered = second.response.status == 200;
      },
      asio::detached);
  co_await site.Sleep(300);
  const auto cancelled =
      co_await site.Send(site.client(), site.CancelCall(1, id));
  write("DELETE of job " + id + " at entry-1", cancelled);
  if (cancelled.response.status != 200 || starts == 0) co_return 2;
  cancelled_at = SteadyNow();
  co_await site.Sleep(kCopyAfterMs);
  if (!is_answered) co_return 2;
  if (HasTrouble()) {
    site.recorder().Write("a late copy of job " + id + " reaches entry-2");
    write("the late copy",
          co_await site.Send(site.client(),
                             site.SubmitCall(2, id, job, kDeadlineMs)));
  } else {
    co_await site.Sleep(kDeadlineMs);
  }
  co_return late_starts > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  review::Site site(argv[1], {});
  return site.Run([&] { return review::Play(site); });
}
