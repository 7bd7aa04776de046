#include "client.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

}  // namespace

void Request::Send(unsigned short port, const std::string& method,
                   const std::string& target, const std::string& body,
                   int request_deadline_ms) {
  message_.version(11);
  message_.method_string(method);
  message_.target(target);
  message_.set(http::field::host, "callers.example");
  if (!body.empty())
    message_.set(http::field::content_type, "application/json");
  if (request_deadline_ms > 0) {
    message_.set("Request-Deadline", std::to_string(request_deadline_ms));
  }
  message_.body() = body;
  message_.prepare_payload();
  socket_.async_connect(
      {asio::ip::address_v4::loopback(), port},
      [self = shared_from_this()](const error_code& failed) {
        if (failed) return self->End(0, "");
        http::async_write(
            self->socket_, self->message_,
            [self](const error_code& error, std::size_t /*size*/) {
              if (error) return self->End(0, "");
              http::async_read(
                  self->socket_, self->buffer_, self->answer_,
                  [self](const error_code& broken, std::size_t /*read*/) {
                    if (broken) return self->End(0, "");
                    self->End(static_cast<int>(self->answer_.result_int()),
                              self->answer_.body());
                  });
            });
      });
}

void Request::Reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void Request::End(int status, const std::string& body) {
  if (ended_) return;
  ended_ = true;
  error_code ignored;
  socket_.close(ignored);
  on_end_(status, body);
}

}  // namespace review
