#ifndef GERANIUM_RUNTIME_PENDING_EXCHANGE_H_
#define GERANIUM_RUNTIME_PENDING_EXCHANGE_H_

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "runtime/http_server.h"

namespace geranium {

/// A request of an HttpServer's connection that waits for its reply.
class PendingExchange final
    : public HttpExchange,
      public std::enable_shared_from_this<PendingExchange> {
 public:
  /// What the server does for the exchange's connection.
  struct Limits {
    std::function<MemoryReservation(std::size_t)> reserve;
    std::function<void(ClientLimit)> report;
  };

  PendingExchange(boost::asio::io_context& io, HttpRequest request,
                  Limits limits)
      : io_(io),
        request_(std::move(request)),
        limits_(std::move(limits)),
        reply_timer_(io) {
    reply_timer_.expires_at(boost::asio::steady_timer::time_point::max());
  }

  const HttpRequest& request() const override { return request_; }

  void Reply(HttpResponse response) override {
    boost::asio::post(io_, [self = shared_from_this(),
                            response = std::move(response)]() mutable {
      if (self->response_) return;
      self->response_ = std::move(response);
      self->reply_timer_.cancel();
    });
  }

  bool disconnected() const override { return disconnected_; }

  void SetOnDisconnect(std::function<void()> on_disconnect) override {
    boost::asio::post(io_,
                      [self = shared_from_this(),
                       on_disconnect = std::move(on_disconnect)]() mutable {
                        self->on_disconnect_ = std::move(on_disconnect);
                        if (self->disconnected_) self->OnDisconnect();
                      });
  }

  MemoryReservation ReserveMemory(std::size_t bytes) override {
    return limits_.reserve(bytes);
  }

  void RefuseAt(ClientLimit limit) override {
    limits_.report(limit);
    Reply(ClientLimitResponse(limit));
  }

  /// Empty if the caller disconnects before the reply.
  boost::asio::awaitable<std::optional<HttpResponse>> WaitForReply() {
    while (!response_ && !disconnected_) {
      boost::beast::error_code ignored;
      co_await reply_timer_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
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
  boost::asio::io_context& io_;
  HttpRequest request_;
  Limits limits_;
  boost::asio::steady_timer reply_timer_;
  std::optional<HttpResponse> response_;
  std::function<void()> on_disconnect_;
  std::atomic<bool> disconnected_ = false;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_PENDING_EXCHANGE_H_
