#include "runtime/process_loop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace geranium {
namespace {

// Guards against an error in one event that ends the process with all that it
// has admitted.
TEST_CASE("ProcessLoop with a handler that throws runs the later handlers") {
  for (const auto threads :
       {ProcessLoop::Threads::kSeparate, ProcessLoop::Threads::kShared}) {
    ProcessLoop loop(threads);
    int handled = 0;
    boost::asio::post(loop.control(),
                      [] { throw std::runtime_error("unforeseen"); });
    boost::asio::post(loop.traffic(),
                      [] { throw std::out_of_range("unforeseen"); });
    loop.Run(
        [&] {
          if (loop.failed_handlers() == 2 && ++handled == 2) loop.Stop();
          return Duration(1);
        },
        [](int /*count*/) {});
    CHECK(handled == 2);
    CHECK(loop.failed_handlers() == 2);
  }
}

TEST_CASE("ProcessLoop with a tick that throws goes on ticking") {
  ProcessLoop loop(ProcessLoop::Threads::kShared);
  int ticks = 0;
  loop.Run(
      [&] {
        if (++ticks == 1) throw std::runtime_error("unforeseen");
        loop.Stop();
        return Duration(1);
      },
      [](int /*count*/) {});
  CHECK(ticks == 2);
  CHECK(loop.failed_handlers() == 1);
}

TEST_CASE("ProcessLoop asked for an earlier tick does not wait for the next") {
  ProcessLoop loop(ProcessLoop::Threads::kShared);
  int ticks = 0;
  const double begin = SystemClock::PreciseMs();
  loop.Run(
      [&] {
        if (++ticks == 2) loop.Stop();
        boost::asio::post(loop.control(),
                          [&] { loop.TickWithin(Duration(1)); });
        return Duration(60'000);
      },
      [](int /*count*/) {});
  CHECK(ticks == 2);
  CHECK(SystemClock::PreciseMs() - begin < 30'000);
}

}  // namespace
}  // namespace geranium
