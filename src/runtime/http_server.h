#ifndef GERANIUM_RUNTIME_HTTP_SERVER_H_
#define GERANIUM_RUNTIME_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "runtime/http.h"

namespace geranium {

/// One request and the place for its answer. Replies may come from any thread;
/// the first one counts.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  virtual void Reply(HttpResponse response) = 0;
  /// True once `SetOnDisconnect` is called or would be; from any thread.
  virtual bool disconnected() const = 0;
  /// Called on the traffic thread if the caller resets the connection before
  /// the reply, or stops sending where that counts as leaving.
  virtual void SetOnDisconnect(std::function<void()> on_disconnect) = 0;
};

/// An HTTP/1.1 server with keep-alive. Requests of one connection are
/// handled one after the other, so pipelined answers keep their order.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  static constexpr std::size_t kMaxBodyBytes = 8U << 20U;

  /// What the end of a caller's sending means while its request is open.
  enum class HalfClose { kIgnored, kDisconnects };

  HttpServer(boost::asio::io_context& io, Handler handler,
             HalfClose half_close = HalfClose::kIgnored);
  ~HttpServer();

  /// Takes connections at `ip:port`; returns what went wrong, or nothing.
  std::string Listen(const std::string& address);
  /// Takes no more connections; those that are open stay.
  void StopListening();
  /// Closes each connection once the request on it is answered; new ones are
  /// still taken.
  void CloseAfterResponses();
  /// Requests that have not been answered in full.
  std::size_t unanswered() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_HTTP_SERVER_H_
