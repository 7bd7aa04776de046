#include "runtime/http_server.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <utility>

namespace geranium {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto kIdleTimeout = std::chrono::seconds(120);
constexpr auto kWriteTimeout = std::chrono::seconds(30);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

HttpRequest ToRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  SplitTarget(std::string(message.target()), request);
  for (const auto& field : message) {
    request.headers[LowerCase(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

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

// The response to input that is not a valid request.
HttpResponse ParseErrorResponse(const beast::error_code& error) {
  const bool too_large = error == http::error::body_limit;
  HttpResponse response;
  response.status = too_large ? 413 : 400;
  response.body =
      std::string(R"({"error":{"code":")") +
      (too_large ? "too_large" : "malformed") +
      R"(","step":"read request","peer":"caller","execution":"not_run",)" +
      R"("message":")" + error.message() + R"("}})" + "\n";
  return response;
}

class Exchange final : public HttpExchange,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& io, HttpRequest request)
      : io_(io), request_(std::move(request)), reply_timer_(io) {
    reply_timer_.expires_at(asio::steady_timer::time_point::max());
  }

  const HttpRequest& request() const override { return request_; }

  void Reply(HttpResponse response) override {
    asio::post(io_, [self = shared_from_this(),
                     response = std::move(response)]() mutable {
      if (self->response_) return;
      self->response_ = std::move(response);
      self->reply_timer_.cancel();
    });
  }

  bool disconnected() const override { return disconnected_; }

  void SetOnDisconnect(std::function<void()> on_disconnect) override {
    asio::post(io_, [self = shared_from_this(),
                     on_disconnect = std::move(on_disconnect)]() mutable {
      self->on_disconnect_ = std::move(on_disconnect);
      if (self->disconnected_) self->OnDisconnect();
    });
  }

  /// Empty if the caller disconnects before the reply.
  asio::awaitable<std::optional<HttpResponse>> WaitForReply() {
    while (!response_ && !disconnected_) {
      beast::error_code ignored;
      co_await reply_timer_.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (response_) on_disconnect_ = nullptr;
    co_return std::move(response_);
  }

  void OnDisconnect() {
    disconnected_ = true;
    reply_timer_.cancel();
    if (on_disconnect_ && !response_) std::exchange(on_disconnect_, nullptr)();
  }

 private:
  asio::io_context& io_;
  HttpRequest request_;
  asio::steady_timer reply_timer_;
  std::optional<HttpResponse> response_;
  std::function<void()> on_disconnect_;
  std::atomic<bool> disconnected_ = false;
};

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, Handler handler, HalfClose half_close)
      : io_(io),
        acceptor_(io),
        handler_(std::move(handler)),
        half_close_(half_close) {}

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

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    asio::steady_timer pause(self->io_);
    while (self->acceptor_.is_open()) {
      beast::error_code error;
      tcp::socket socket = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        // Most likely no descriptor is free; connections wait in the backlog.
        pause.expires_after(kAcceptRetryDelay);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      socket.set_option(tcp::no_delay(true), error);
      asio::co_spawn(self->io_, Serve(self, std::move(socket)), asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      stream.expires_after(kIdleTimeout);
      beast::error_code error;
      co_await http::async_read(
          stream, buffer, parser,
          asio::redirect_error(asio::use_awaitable, error));
      const bool connection_ended = error == http::error::end_of_stream ||
                                    error == asio::error::operation_aborted ||
                                    error == asio::error::connection_reset ||
                                    error == beast::error::timeout;
      if (connection_ended) break;
      if (error) {
        co_await Write(stream, ParseErrorResponse(error), 11, false);
        break;
      }
      if (HasDisconnected(stream.socket(), self->half_close_)) break;
      auto message = parser.release();
      const bool keep_alive = message.keep_alive();
      const unsigned version = message.version();
      ++self->unanswered_;
      std::optional<HttpResponse> response =
          co_await Handle(self, stream, ToRequest(std::move(message)));
      const bool keep_open =
          response && keep_alive && !self->close_after_response_;
      const bool written =
          response &&
          co_await Write(stream, std::move(*response), version, keep_open);
      --self->unanswered_;
      if (!written || !keep_open) break;
    }
    co_await CloseGracefully(stream);
  }

  static asio::awaitable<std::optional<HttpResponse>> Handle(
      std::shared_ptr<Impl> self, beast::tcp_stream& stream,
      HttpRequest request) {
    auto exchange = std::make_shared<Exchange>(self->io_, std::move(request));
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
    std::optional<HttpResponse> response = co_await exchange->WaitForReply();
    beast::error_code ignored;
    stream.socket().cancel(ignored);
    co_return response;
  }

  static asio::awaitable<bool> Write(beast::tcp_stream& stream,
                                     HttpResponse response, unsigned version,
                                     bool keep_open) {
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), version);
    message.set(http::field::content_type, response.content_type);
    if (response.retry_after_s) {
      message.set(http::field::retry_after,
                  std::to_string(*response.retry_after_s));
    }
    message.keep_alive(keep_open);
    // These statuses have no body, and Beast throws if one is given.
    const bool has_no_body = response.status < 200 || response.status == 204 ||
                             response.status == 304;
    if (!has_no_body) message.body() = std::move(response.body);
    message.prepare_payload();
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

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  Handler handler_;
  HalfClose half_close_;
  bool close_after_response_ = false;
  std::atomic<std::size_t> unanswered_ = 0;
};

HttpServer::HttpServer(asio::io_context& io, Handler handler,
                       HalfClose half_close)
    : impl_(std::make_shared<Impl>(io, std::move(handler), half_close)) {}

HttpServer::~HttpServer() = default;

std::string HttpServer::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void HttpServer::StopListening() { impl_->StopListening(); }

void HttpServer::CloseAfterResponses() { impl_->CloseAfterResponses(); }

std::size_t HttpServer::unanswered() const { return impl_->unanswered(); }

}  // namespace geranium
