#ifndef GERANIUM_RUNTIME_PEER_LINKS_H_
#define GERANIUM_RUNTIME_PEER_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "link/messages.h"
#include "link/web_socket/web_socket.h"
#include "runtime/rate_limited_log.h"

namespace geranium {

/// The links of one process to its peers. Calls and handlers run on the control
/// thread; sockets and the codec run on the traffic thread. Messages that are
/// sent on a link between two calls of `Flush` share one frame.
class PeerLinks {
 public:
  static constexpr Duration kMaxDialDelay{2000};

  struct Handlers {
    std::function<void(LinkId)> on_up;
    std::function<void(LinkId, const Message&)> on_message;
    std::function<void(LinkId)> on_down;
    /// Called after `on_up`, `on_down` and the last message of a frame.
    std::function<void()> after_frame;
  };

  PeerLinks(boost::asio::io_context& control, boost::asio::io_context& traffic,
            Handlers handlers, std::uint64_t seed,
            Duration max_dial_delay = kMaxDialDelay);
  ~PeerLinks();

  /// Accepts links at `ip:port`; must be called before the threads start.
  /// Returns an error message, or "".
  std::string Listen(const std::string& address);
  /// Connects to `ip:port` and reconnects with jittered exponential backoff.
  void Connect(const std::string& address);
  /// Closes the link to `ip:port`, if there is one, and stops reconnecting.
  void Disconnect(const std::string& address);
  void Send(LinkId link, Message message);
  /// Resets a link whose peer no longer responds.
  void Reset(LinkId link);
  /// Sends the messages queued since the last flush.
  void Flush();
  /// Closes all links and stops dialling.
  void Stop();

  std::uint64_t frames_sent() const { return frames_sent_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  /// Frames that were malformed or could not be handled whole.
  std::uint64_t frames_rejected() const { return frames_rejected_; }
  /// Links reset because their peer did not read what was sent.
  std::uint64_t overfull_links() const { return overfull_links_; }
  /// Connections without a valid frame that were closed for newer ones.
  std::uint64_t evicted_connections() const {
    return sockets_->evicted_connections();
  }

 private:
  // On the control thread.
  void HandleFrame(LinkId link, const Frame& frame);
  // On the traffic thread.
  void SendFrames(std::uint64_t id, const Frame& frame);
  void OnOpen(std::uint64_t id, const std::string& dialled);
  void OnBytes(std::uint64_t id, const std::string& bytes);
  void OnClose(std::uint64_t id);
  void RejectFrame(std::uint64_t id, const std::string& reason);
  /// The fields of a log line about a link.
  LogFields Describe(std::uint64_t id, const std::string& reason) const;
  void DialLater(const std::string& address);
  void DialIfWanted(const std::string& address);

  boost::asio::io_context& control_;
  boost::asio::io_context& traffic_;
  Handlers handlers_;
  Random random_;
  Duration max_dial_delay_;
  bool stopping_ = false;
  /// Addresses to stay connected to.
  std::set<std::string> wanted_addresses_;
  /// Connected, being dialled or waiting to be dialled again.
  std::set<std::string> active_addresses_;
  std::map<std::uint64_t, std::string> address_by_link_;
  std::map<std::string, Duration> dial_delays_;
  std::map<LinkId, Frame> outgoing_;
  std::atomic<std::uint64_t> frames_sent_ = 0;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::atomic<std::uint64_t> frames_rejected_ = 0;
  std::atomic<std::uint64_t> overfull_links_ = 0;
  SystemClock clock_;
  RateLimitedLog log_;
  std::unique_ptr<WebSocketNode> sockets_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_PEER_LINKS_H_
