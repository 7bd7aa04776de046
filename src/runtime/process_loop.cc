#include "runtime/process_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <thread>
#include <utility>

#include "runtime/logging.h"

namespace geranium {

ProcessLoop::ProcessLoop(Threads threads)
    : threads_(threads),
      control_(1),
      traffic_(1),
      tick_timer_(control_),
      signals_(control_) {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
}

void ProcessLoop::Run(std::function<Duration()> on_tick,
                      std::function<void(int)> on_terminate,
                      std::function<void()> on_reload) {
  on_tick_ = std::move(on_tick);
  on_terminate_ = std::move(on_terminate);
  on_reload_ = std::move(on_reload);
  const auto control_work = boost::asio::make_work_guard(control_);
  ScheduleTick(kTickInterval);
  WaitSignal();
  if (threads_ == Threads::kShared) {
    RunContext(control_);
    return;
  }
  const auto traffic_work = boost::asio::make_work_guard(traffic_);
  std::thread traffic_thread([this] { RunContext(traffic_); });
  RunContext(control_);
  traffic_.stop();
  traffic_thread.join();
}

// An error that nothing has foreseen costs the event it arose from, not the
// process with all that it has admitted.
void ProcessLoop::RunContext(boost::asio::io_context& context) {
  while (true) {
    try {
      context.run();
      return;
    } catch (const std::exception& error) {
      ++failed_handlers_;
      LogEvent(LogLevel::kError, "handler_failed", {{"message", error.what()}});
    }
  }
}

void ProcessLoop::Stop() { control_.stop(); }

// After a late tick, for example when the process was suspended, the next one
// follows a whole interval later.
void ProcessLoop::ScheduleTick(Duration delay) {
  tick_timer_.expires_after(std::chrono::milliseconds(delay.ms()));
  tick_timer_.async_wait([this](const auto& error) {
    if (error) return;
    try {
      ScheduleTick(on_tick_());
    } catch (...) {
      ScheduleTick(kTickInterval);
      throw;
    }
  });
}

void ProcessLoop::TickWithin(Duration delay) {
  const auto wanted =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(delay.ms());
  if (wanted < tick_timer_.expiry()) ScheduleTick(delay);
}

void ProcessLoop::WaitSignal() {
  signals_.async_wait([this](const auto& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      on_reload_();
    } else {
      on_terminate_(++signal_count_);
    }
    WaitSignal();
  });
}

}  // namespace geranium
