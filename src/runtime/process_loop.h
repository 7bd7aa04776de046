#ifndef GERANIUM_RUNTIME_PROCESS_LOOP_H_
#define GERANIUM_RUNTIME_PROCESS_LOOP_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "base/clock.h"

namespace geranium {

/// The threads of a process: the control thread, which is the caller of `Run`,
/// and the traffic thread for I/O. They may be the same.
class ProcessLoop {
 public:
  enum class Threads {
    kSeparate,
    /// Control and I/O share one thread, which saves two thread switches for
    /// each message.
    kShared,
  };

  static constexpr Duration kTickInterval{10};

  explicit ProcessLoop(Threads threads = Threads::kSeparate);

  boost::asio::io_context& control() { return control_; }
  boost::asio::io_context& traffic() {
    return threads_ == Threads::kShared ? control_ : traffic_;
  }

  /// Runs until `Stop`. `on_tick` returns the time to the next tick,
  /// `on_terminate` is called at each SIGTERM or SIGINT with their count so
  /// far, `on_reload` at SIGHUP.
  void Run(
      std::function<Duration()> on_tick,
      std::function<void(int count)> on_terminate,
      std::function<void()> on_reload = [] {});
  /// Brings the next tick forward if it is later than `delay` from now.
  void TickWithin(Duration delay);
  void Stop();

  /// Handlers that ended with an exception; the loop goes on after each.
  std::uint64_t failed_handlers() const { return failed_handlers_; }

 private:
  void RunContext(boost::asio::io_context& context);
  void ScheduleTick(Duration delay);
  void WaitSignal();

  const Threads threads_;
  boost::asio::io_context control_;
  boost::asio::io_context traffic_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::signal_set signals_;
  std::function<Duration()> on_tick_;
  std::function<void(int)> on_terminate_;
  std::function<void()> on_reload_;
  int signal_count_ = 0;
  std::atomic<std::uint64_t> failed_handlers_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_PROCESS_LOOP_H_
