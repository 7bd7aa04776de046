// Case: a client's channel breaks and it sends its job again. While the job
// runs, a late copy of it arrives at a third entry.

#include "review_site.h"

namespace review {
namespace {

constexpr int kTasks = 4;
constexpr int kWorkMs = 12'000;
constexpr int kDeadlineMs = 20'000;
constexpr int kBrokenAfterMs = 200;
constexpr Milliseconds kResendMs = 1300;  // resend-ms
constexpr Milliseconds kCopyAfterMs = 10'800;

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}

  asio::awaitable<int> Play() {
    if (!co_await site_.Start()) co_return 2;
    site_.on_start = [this](Worker& worker, const RunName& run) {
      OnStart(worker, run);
    };
    id_ = site_.NewJobId();
    job_.steps = {{kTasks, 3100, 64, kWorkMs}};
    job_.work_ms = kWorkMs;
    geranium::HttpCall first = site_.SubmitCall(0, id_, job_, kDeadlineMs);
    first.timeout = geranium::Duration(kBrokenAfterMs);
    site_.recorder().Write("sends job " + id_ + " to entry-0");
    co_await site_.Send(site_.client(), first);
    site_.recorder().Write("the channel to entry-0 is broken");
    co_await site_.Sleep(kResendMs);
    starts_ = 0;
    asio::co_spawn(site_.io(), Submit(1), asio::detached);
    co_await site_.Sleep(kCopyAfterMs);
    // All tasks must run, and none be over, when the copy arrives.
    if (starts_ != kTasks || answers_ > 0) co_return 2;
    if (HasTrouble()) asio::co_spawn(site_.io(), Submit(2), asio::detached);
    co_await site_.Sleep(kWorkMs + kBrokenAfterMs - kCopyAfterMs + 800);
    if (!HasTrouble() && answers_ != 1) co_return 2;
    co_return violations_ > 0 ? 1 : 0;
  }

 private:
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

  asio::awaitable<void> Submit(int entry) {
    site_.recorder().Write("job " + id_ + " arrives again, at entry-" +
                           std::to_string(entry));
    const auto outcome = co_await site_.Send(
        site_.client(), site_.SubmitCall(entry, id_, job_, kDeadlineMs));
    const bool answered = outcome.failure == geranium::HttpFailure::kNone;
    if (answered && outcome.response.status == 200) ++answers_;
    site_.recorder().Write("job " + id_ + " at entry-" + std::to_string(entry) +
                           ": " +
                           (answered ? std::to_string(outcome.response.status) +
                                           " " + outcome.response.body
                                     : "no answer, " + outcome.message));
  }

  Site& site_;
  std::string id_;
  JobSpec job_;
  int starts_ = 0;
  int answers_ = 0;
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
