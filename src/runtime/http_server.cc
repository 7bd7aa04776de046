#include "runtime/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include "runtime/beast_messages.h"
#include "runtime/pending_exchange.h"
#include "runtime/request_reader.h"

namespace geranium {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto kIdleTimeout = std::chrono::seconds(120);
constexpr auto kWriteTimeout = std::chrono::seconds(30);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

// A request can still be read after its caller has disconnected. Without this
// check, a busy server would handle requests already sent again elsewhere.
bool HasDisconnected(tcp::socket& socket, HttpServer::HalfClose half_close) {
  char byte = 0;
  const auto read =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (read > 0) return false;
  if (read == 0) return half_close == HttpServer::HalfClose::kDisconnects;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, Handler handler, HalfClose half_close,
       const HttpServerLimits& limits)
      : io_(io),
        acceptor_(io),
        handler_(std::move(handler)),
        half_close_(half_close),
        max_body_bytes_(limits.max_body_bytes),
        limits_(limits),
        table_(limits.max_request_memory_bytes) {}

  std::string Listen(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return "not an ip:port: " + address;
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error) return error.message();
    const int port = std::atoi(address.c_str() + colon + 1);
    const tcp::endpoint endpoint(ip, static_cast<unsigned short>(port));
    acceptor_.open(endpoint.protocol(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
    if (error) return error.message();
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) return error.message();
    asio::co_spawn(io_, Accept(shared_from_this()), asio::detached);
    return "";
  }

  void StopListening() {
    asio::post(io_, [self = shared_from_this()] {
      beast::error_code ignored;
      self->acceptor_.close(ignored);
      self->close_after_response_ = true;
    });
  }

  void CloseAfterResponses() {
    asio::post(io_, [self = shared_from_this()] {
      self->close_after_response_ = true;
    });
  }

  std::size_t unanswered() const { return unanswered_; }

  void SetMaxBodyBytes(std::size_t bytes) {
    asio::dispatch(io_, [self = shared_from_this(), bytes] {
      self->limits_.max_body_bytes = std::min(self->max_body_bytes_, bytes);
    });
  }

  void SetOnClientLimit(OnClientLimit on_limit) {
    on_limit_ = std::move(on_limit);
  }

 private:
  using Id = ConnectionTable::Id;

  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    asio::steady_timer pause(self->io_);
    while (self->acceptor_.is_open()) {
      beast::error_code error;
      tcp::socket socket = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        // Most likely no descriptor is free; connections wait in the backlog.
        if (self->EvictLongestWaiting()) continue;
        pause.expires_after(kAcceptRetryDelay);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      if (!self->MakeRoomForConnection()) {
        self->Report(ClientLimit::kConnections, socket);
        continue;
      }
      socket.set_option(tcp::no_delay(true), error);
      asio::co_spawn(self->io_, Serve(self, std::move(socket)), asio::detached);
    }
  }

  bool MakeRoomForConnection() {
    const std::size_t bound =
        BoundConnections(limits_.max_connections, DescriptorLimit());
    return table_.size() < bound || EvictLongestWaiting();
  }

  bool EvictLongestWaiting() {
    const std::optional<Id> evicted = table_.EvictLongestWaiting();
    if (evicted) Close(*evicted, ClientLimit::kConnections);
    return evicted.has_value();
  }

  ConnectionTable::Outcome ReserveMemory(Id id, std::size_t bytes) {
    std::vector<Id> evicted;
    const auto outcome = table_.Reserve(id, bytes, evicted);
    for (const Id victim : evicted) Close(victim, ClientLimit::kEvictedRequest);
    return outcome;
  }

  // The coroutine of the connection ends with the error of its read.
  void Close(Id id, ClientLimit limit) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) return;
    beast::tcp_stream& stream = *found->second;
    streams_.erase(found);
    Report(limit, stream.socket());
    stream.close();
  }

  void Report(ClientLimit limit, Id id) {
    const auto found = streams_.find(id);
    if (found != streams_.end()) Report(limit, found->second->socket());
  }

  void Report(ClientLimit limit, const tcp::socket& socket) {
    if (!on_limit_) return;
    beast::error_code error;
    const auto peer = socket.remote_endpoint(error);
    on_limit_(limit, error ? "" : peer.address().to_string());
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    const Id id = self->table_.Add();
    self->streams_[id] = &stream;
    const Registration registration{*self, id};
    RequestReader reader(stream, self->limits_, [&](std::size_t bytes) {
      return self->ReserveMemory(id, bytes);
    });
    while (true) {
      stream.expires_after(kIdleTimeout);
      RequestReader::Outcome read = co_await reader.Read();
      if (!self->streams_.contains(id)) break;  // Evicted.
      if (read.limit) {
        self->Report(*read.limit, stream.socket());
        self->table_.SetWaiting(id);
        co_await Write(stream, ClientLimitResponse(*read.limit), 11, false);
        break;
      }
      const beast::error_code error = read.error;
      const bool connection_ended = error == http::error::end_of_stream ||
                                    error == asio::error::operation_aborted ||
                                    error == asio::error::connection_reset ||
                                    error == beast::error::timeout;
      if (connection_ended) break;
      if (error) {
        self->table_.SetWaiting(id);
        co_await Write(stream, ParseErrorResponse(error), 11, false);
        break;
      }
      if (HasDisconnected(stream.socket(), self->half_close_)) break;
      const bool keep_alive = read.message->keep_alive();
      const unsigned version = read.message->version();
      ++self->unanswered_;
      std::optional<HttpResponse> response = co_await Handle(
          self, id, stream, ToRequest(std::move(*read.message)), read.memory);
      const bool keep_open =
          response && keep_alive && !self->close_after_response_;
      const bool written =
          response &&
          co_await Write(stream, std::move(*response), version, keep_open);
      --self->unanswered_;
      self->table_.SetWaiting(id);
      if (!written || !keep_open) break;
    }
    co_await CloseGracefully(stream);
  }

  static asio::awaitable<std::optional<HttpResponse>> Handle(
      std::shared_ptr<Impl> self, Id id, beast::tcp_stream& stream,
      HttpRequest request, std::size_t memory) {
    self->table_.SetHandling(id);
    const std::size_t parsing = EstimateParsingMemory(request.body);
    const std::size_t handling = EstimateHandlingMemory(request.body);
    const auto reserved = self->ReserveMemory(id, memory + parsing);
    if (reserved != ConnectionTable::Outcome::kReserved) {
      self->Report(ToClientLimit(reserved), stream.socket());
      co_return ClientLimitResponse(ToClientLimit(reserved));
    }
    const std::weak_ptr<Impl> weak = self;
    auto exchange = std::make_shared<PendingExchange>(
        self->io_, std::move(request),
        PendingExchange::Limits{[weak, id](std::size_t bytes) {
                                  const auto impl = weak.lock();
                                  return impl ? impl->Lease(id, bytes)
                                              : MemoryReservation{};
                                },
                                [weak, id](ClientLimit limit) {
                                  if (const auto impl = weak.lock())
                                    impl->Report(limit, id);
                                }});
    // While the request is handled, a reset shows as a socket error; a
    // half-close does not.
    stream.expires_never();
    stream.socket().async_wait(tcp::socket::wait_error,
                               [exchange](const beast::error_code& wait_error) {
                                 if (!wait_error) exchange->OnDisconnect();
                               });
    if (self->half_close_ == HalfClose::kDisconnects) {
      stream.socket().async_wait(
          tcp::socket::wait_read,
          [exchange, &stream](const beast::error_code& wait_error) {
            if (wait_error) return;
            // Readable without data is a half-close, else the next request.
            if (HasDisconnected(stream.socket(), HalfClose::kDisconnects))
              exchange->OnDisconnect();
          });
    }
    self->handler_(exchange);
    self->Release(id, parsing - handling);
    std::optional<HttpResponse> response = co_await exchange->WaitForReply();
    beast::error_code ignored;
    stream.socket().cancel(ignored);
    co_return response;
  }

  MemoryReservation Lease(Id id, std::size_t bytes) {
    std::vector<Id> evicted;
    const auto outcome = table_.Lease(id, bytes, evicted);
    for (const Id victim : evicted) Close(victim, ClientLimit::kEvictedRequest);
    if (outcome != ConnectionTable::Outcome::kReserved) {
      return {nullptr, ToClientLimit(outcome)};
    }
    // Whoever holds it may be on another thread, or outlive the server.
    const auto end_lease = [weak = weak_from_this(), bytes](const void*) {
      const auto impl = weak.lock();
      if (!impl) return;
      asio::dispatch(impl->io_,
                     [impl, bytes] { impl->table_.EndLease(bytes); });
    };
    return {MemoryLease(this, end_lease), std::nullopt};
  }

  void Release(Id id, std::size_t bytes) {
    const std::size_t held = table_.memory_of(id);
    (void)ReserveMemory(id, held - std::min(held, bytes));
  }

  static asio::awaitable<bool> Write(beast::tcp_stream& stream,
                                     HttpResponse response, unsigned version,
                                     bool keep_open) {
    const auto message =
        ToBeastMessage(std::move(response), version, keep_open);
    stream.expires_after(kWriteTimeout);
    beast::error_code error;
    co_await http::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
  }

  // Lingering close: closing with unread input resets the connection, and a
  // caller that is still sending could lose the last response.
  static asio::awaitable<void> CloseGracefully(beast::tcp_stream& stream) {
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(std::chrono::seconds(1));
    char discarded[4096];
    beast::error_code error;
    while (!error) {
      co_await stream.async_read_some(
          asio::buffer(discarded),
          asio::redirect_error(asio::use_awaitable, error));
    }
    stream.close();
  }

  /// Ends with the connection's coroutine, also if that is destroyed.
  struct Registration {
    Impl& server;
    Id id;

    Registration(Impl& impl, Id connection) : server(impl), id(connection) {}
    ~Registration() {
      server.table_.Remove(id);
      server.streams_.erase(id);
    }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;
  };

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  Handler handler_;
  HalfClose half_close_;
  const std::size_t max_body_bytes_;
  HttpServerLimits limits_;
  ConnectionTable table_;
  std::unordered_map<Id, beast::tcp_stream*> streams_;
  OnClientLimit on_limit_;
  bool close_after_response_ = false;
  std::atomic<std::size_t> unanswered_ = 0;
};

HttpServer::HttpServer(asio::io_context& io, Handler handler,
                       HalfClose half_close, HttpServerLimits limits)
    : impl_(
          std::make_shared<Impl>(io, std::move(handler), half_close, limits)) {}

HttpServer::~HttpServer() = default;

std::string HttpServer::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void HttpServer::StopListening() { impl_->StopListening(); }

void HttpServer::CloseAfterResponses() { impl_->CloseAfterResponses(); }

void HttpServer::SetOnClientLimit(OnClientLimit on_limit) {
  impl_->SetOnClientLimit(std::move(on_limit));
}

std::size_t HttpServer::unanswered() const { return impl_->unanswered(); }

void HttpServer::SetMaxBodyBytes(std::size_t bytes) {
  impl_->SetMaxBodyBytes(bytes);
}

}  // namespace geranium
