#ifndef GERANIUM_REVIEW_STANDINS_3_CLIENT_H_
#define GERANIUM_REVIEW_STANDINS_3_CLIENT_H_

// clang-format off
#include <utility>  // Before Boost.Asio 1.74, which needs std::exchange.
// clang-format on

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>

namespace review {

/// One request of a client, on a channel of its own.
class Request : public std::enable_shared_from_this<Request> {
 public:
  /// `status` is 0 if the channel ended without a complete answer.
  using OnEnd = std::function<void(int status, const std::string& body)>;

  Request(boost::asio::io_context& io, OnEnd on_end)
      : socket_(io), on_end_(std::move(on_end)) {}

  void Send(unsigned short port, const std::string& method,
            const std::string& target, const std::string& body,
            int request_deadline_ms);
  /// The client's keep-alive has found the channel broken: resets it.
  void Reset();
  bool ended() const { return ended_; }

 private:
  void End(int status, const std::string& body);

  boost::asio::ip::tcp::socket socket_;
  boost::beast::http::request<boost::beast::http::string_body> message_;
  boost::beast::http::response<boost::beast::http::string_body> answer_;
  boost::beast::flat_buffer buffer_;
  OnEnd on_end_;
  bool ended_ = false;
};

}  // namespace review

#endif  // GERANIUM_REVIEW_STANDINS_3_CLIENT_H_
