// Case: an entry gets SIGTERM. A client that has an open channel to it sends a
// wide job 3.2 s later, which the entry takes in and passes on to workers.

#include <csignal>

#include "review_site.h"

namespace review {
namespace {

constexpr Milliseconds kSentAfterSigtermMs = 3200;
constexpr Milliseconds kGraceMs = 6000;
constexpr int kDeadlineMs = 9000;

asio::awaitable<int> Play(Site& site) {
  int starts = 0;
  site.on_start = [&](Worker&, const RunName&) { ++starts; };
  if (!co_await site.Start()) co_return 2;
  // The client's only channel, kept open between its requests.
  geranium::HttpClient client(site.io());
  JobSpec small;
  small.steps = {{1, 3100, 64, 60}};
  small.work_ms = 60;
  const auto first = co_await site.Send(
      client, site.SubmitCall(0, site.NewJobId(), small, 1500));
  site.recorder().Write("first job: " + std::to_string(first.response.status) +
                        " " + first.response.body + first.message);
  if (first.response.status != 200) co_return 2;

  if (HasTrouble()) site.Signal(0, SIGTERM);
  const Milliseconds sigterm = SteadyNow();
  co_await site.Sleep(kSentAfterSigtermMs);
  JobSpec wide;
  wide.steps = {{440, 4700, 64, 500}};
  wide.work_ms = 500;
  const std::string id = site.NewJobId();
  starts = 0;
  site.recorder().Write("sends job " + id + " of 440 tasks on that channel, " +
                        std::to_string(SteadyNow() - sigterm) +
                        " ms after the signal");
  // The platform kills what is left after the grace time.
  auto kill = std::make_shared<asio::steady_timer>(
      site.io(), std::chrono::milliseconds(kGraceMs - kSentAfterSigtermMs));
  if (HasTrouble()) {
    kill->async_wait([&site](const auto& error) {
      if (!error) site.Signal(0, SIGKILL);
    });
  }
  const auto second =
      co_await site.Send(client, site.SubmitCall(0, id, wide, kDeadlineMs));
  const Milliseconds ended = SteadyNow() - sigterm;
  kill->cancel();
  const bool answered = second.failure == geranium::HttpFailure::kNone;
  site.recorder().Write(
      "job " + id + ": " +
      (answered
           ? std::to_string(second.response.status) + " " + second.response.body
           : "the channel ended without an answer (" + second.message + ")") +
      ", " + std::to_string(ended) + " ms after the signal, " +
      std::to_string(starts) + " of its tasks were started");
  // Nothing of it was passed on: the request may not have been read.
  if (!answered && starts == 0) co_return 2;
  if (!answered) site.recorder().Write("RULE BROKEN: cut off at work");
  co_return answered ? 0 : 1;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  review::Site site(argv[1], {});
  return site.Run([&] { return review::Play(site); });
}
