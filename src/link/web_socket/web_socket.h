#ifndef GERANIUM_LINK_WEB_SOCKET_WEB_SOCKET_H_
#define GERANIUM_LINK_WEB_SOCKET_WEB_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace geranium {

/// WebSocket connections of one process, both taken and dialled. All calls and
/// handlers are on the one thread that runs the io_context. This header is read
/// as C++17 and as C++20.
class WebSocketNode {
 public:
  using ConnectionId = std::uint64_t;

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

  /// Takes connections at `ip:port`; returns what went wrong, or nothing.
  std::string Listen(const std::string& address);
  /// Connects to `ip:port`; the outcome comes through a handler.
  void Dial(const std::string& address);
  /// Sends one binary message; dropped if the connection is gone.
  void Send(ConnectionId id, const std::string& bytes);
  void Close(ConnectionId id);
  /// Resets the connection without a closing handshake; what was sent and has
  /// not arrived is lost.
  void Reset(ConnectionId id);
  /// Takes no more connections and closes all.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace geranium

#endif  // GERANIUM_LINK_WEB_SOCKET_WEB_SOCKET_H_
