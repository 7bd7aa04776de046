#include "runtime/process_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

namespace geranium {

ProcessLoop::ProcessLoop()
    : control_(1), traffic_(1), tick_timer_(control_), signals_(control_) {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
}

void ProcessLoop::Run(std::function<void()> on_tick,
                      std::function<void(int)> on_terminate,
                      std::function<void()> on_reload) {
  on_tick_ = std::move(on_tick);
  on_terminate_ = std::move(on_terminate);
  on_reload_ = std::move(on_reload);
  const auto control_work = boost::asio::make_work_guard(control_);
  const auto traffic_work = boost::asio::make_work_guard(traffic_);
  ScheduleTick();
  WaitSignal();
  std::thread traffic_thread([this] { traffic_.run(); });
  control_.run();
  traffic_.stop();
  traffic_thread.join();
}

void ProcessLoop::Stop() { control_.stop(); }

// After a late tick, for example when the process was suspended, the next one
// follows a whole interval later.
void ProcessLoop::ScheduleTick() {
  tick_timer_.expires_after(std::chrono::milliseconds(kTickInterval.ms()));
  tick_timer_.async_wait([this](const auto& error) {
    if (error) return;
    on_tick_();
    ScheduleTick();
  });
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
