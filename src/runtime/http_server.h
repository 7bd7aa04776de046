#ifndef GERANIUM_RUNTIME_HTTP_SERVER_H_
#define GERANIUM_RUNTIME_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/memory_lease.h"
#include "runtime/client_limits.h"
#include "runtime/http.h"

namespace geranium {

/// The result of a reservation: a lease, or the limit that it would exceed.
struct MemoryReservation {
  MemoryLease lease;
  std::optional<ClientLimit> limit;
};

/// One request and its reply. `Reply` may be called from any thread; only the
/// first call has an effect.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  virtual void Reply(HttpResponse response) = 0;
  /// True once the caller has disconnected; may be called from any thread.
  virtual bool disconnected() const = 0;
  /// Reserves memory, in bytes, that is used beyond the exchange, for example
  /// by a job whose caller disconnects. Call on the traffic thread.
  virtual MemoryReservation ReserveMemory(std::size_t bytes) = 0;
  /// Replies that the request was not run, and reports the limit that it met.
  /// Call on the traffic thread.
  virtual void RefuseAt(ClientLimit limit) = 0;
  /// `on_disconnect` runs on the traffic thread if the caller resets the
  /// connection before the reply, or half-closes it where that counts.
  virtual void SetOnDisconnect(std::function<void()> on_disconnect) = 0;
};

/// An HTTP/1.1 server with keep-alive. Requests of one connection are handled
/// one at a time, so that pipelined requests are answered in order. What its
/// clients may use is limited (docs/design/untrusted-clients.md).
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// What a half-close by the caller means while its request is unanswered.
  enum class HalfClose { kIgnored, kDisconnects };

  HttpServer(boost::asio::io_context& io, Handler handler,
             HalfClose half_close = HalfClose::kIgnored,
             HttpServerLimits limits = {});
  ~HttpServer();

  /// Accepts connections at `ip:port`; returns an error message, or "".
  std::string Listen(const std::string& address);
  /// Stops accepting connections; each open one closes after its next answer.
  void StopListening();
  /// Closes each connection after its next answer; still accepts new ones.
  void CloseAfterResponses();
  /// Requests whose response has not been written completely.
  std::size_t unanswered() const;
  /// Sets the limit on bodies, in bytes; at most that of `HttpServerLimits`.
  void SetMaxBodyBytes(std::size_t bytes);
  /// `on_limit` runs on the traffic thread when a client has met a limit.
  void SetOnClientLimit(OnClientLimit on_limit);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_HTTP_SERVER_H_
