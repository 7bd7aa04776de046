#ifndef GERANIUM_RUNTIME_PROCESS_LOOP_H_
#define GERANIUM_RUNTIME_PROCESS_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "base/clock.h"

namespace geranium {

/// The two threads of a process: the control thread, which is the caller of
/// `Run`, and the traffic thread for I/O.
class ProcessLoop {
 public:
  static constexpr Duration kTickInterval{10};

  ProcessLoop();

  boost::asio::io_context& control() { return control_; }
  boost::asio::io_context& traffic() { return traffic_; }

  /// Runs until `Stop`. `on_tick` is called at every tick, `on_terminate` at
  /// each SIGTERM or SIGINT with their count so far, `on_reload` at SIGHUP.
  void Run(
      std::function<void()> on_tick,
      std::function<void(int count)> on_terminate,
      std::function<void()> on_reload = [] {});
  void Stop();

 private:
  void ScheduleTick();
  void WaitSignal();

  boost::asio::io_context control_;
  boost::asio::io_context traffic_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::signal_set signals_;
  std::function<void()> on_tick_;
  std::function<void(int)> on_terminate_;
  std::function<void()> on_reload_;
  int signal_count_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_PROCESS_LOOP_H_
