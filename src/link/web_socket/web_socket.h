#ifndef GERANIUM_LINK_WEB_SOCKET_WEB_SOCKET_H_
#define GERANIUM_LINK_WEB_SOCKET_WEB_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace geranium {

/// A process's WebSocket connections, accepted and dialled. All calls and
/// handlers run on the one thread of the io_context. This header is compiled
/// as C++17 and as C++20.
class WebSocketNode {
 public:
  using ConnectionId = std::uint64_t;

  /// Of one message from a peer. The largest is a route table.
  static constexpr std::size_t kMaxMessageBytes = 4U << 20U;
  /// Sent on one connection and not taken by its peer yet.
  static constexpr std::size_t kMaxUnsentBytes = 2 * kMaxMessageBytes;

  struct Handlers {
    /// `dialled` is the address given to `Dial`; empty if the peer dialled.
    std::function<void(ConnectionId, const std::string& dialled)> on_open;
    std::function<void(ConnectionId, std::string bytes)> on_message;
    std::function<void(ConnectionId)> on_close;
    std::function<void(const std::string& dialled, const std::string& reason)>
        on_dial_failed;
  };

  WebSocketNode(boost::asio::io_context& io, Handlers handlers);
  ~WebSocketNode();
  WebSocketNode(const WebSocketNode&) = delete;
  WebSocketNode& operator=(const WebSocketNode&) = delete;

  /// Accepts connections at `ip:port`; returns an error text, empty on success.
  std::string Listen(const std::string& address);
  /// Connects to `ip:port`; calls `on_open` or `on_dial_failed`.
  void Dial(const std::string& address);
  /// Sends one binary message; dropped if the connection is closed. False if
  /// the peer has left so much unread that the message is not sent.
  bool Send(ConnectionId id, const std::string& bytes);
  /// Allows messages of up to `kMaxMessageBytes` from a peer that has dialled,
  /// which has shown that it is one of ours. Until then the connection may be
  /// closed for others.
  void SetIdentified(ConnectionId id);
  void Close(ConnectionId id);
  /// Resets the connection without a closing handshake; sent data that has not
  /// arrived is lost.
  void Reset(ConnectionId id);
  /// Accepted connections that were closed for newer ones, without having sent
  /// a valid frame.
  std::uint64_t evicted_connections() const;
  /// Stops accepting connections and closes all open ones.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace geranium

#endif  // GERANIUM_LINK_WEB_SOCKET_WEB_SOCKET_H_
