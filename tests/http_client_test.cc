#include "runtime/http_client.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace geranium {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A client and a server that resets the connection of the second request, the
/// first that reuses one.
class HttpClientTest {
 protected:
  static constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  static constexpr char kUnhealthy[] =
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

  HttpClientTest()
      : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}), client_(io_) {}

  /// `second`: the answer to the copy; none if nothing listens any more.
  HttpOutcome CallOnResetConnection(const std::optional<std::string>& second) {
    asio::co_spawn(io_, Serve(second), asio::detached);
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    std::optional<HttpOutcome> outcome;
    client_.Start(call, [&](const HttpOutcome&) {
      client_.Start(call, [&](HttpOutcome read) {
        outcome = std::move(read);
        client_.CloseIdleConnections();
      });
    });
    io_.run();
    REQUIRE(outcome.has_value());
    return *outcome;
  }

 private:
  asio::awaitable<void> Serve(std::optional<std::string> second) {
    tcp::socket first = co_await acceptor_.async_accept(asio::use_awaitable);
    co_await Read(first);
    co_await asio::async_write(first, asio::buffer(std::string(kOk)),
                               asio::use_awaitable);
    co_await Read(first);
    if (!second) acceptor_.close();
    first.set_option(asio::socket_base::linger(true, 0));
    first.close();
    if (!second) co_return;
    tcp::socket other = co_await acceptor_.async_accept(asio::use_awaitable);
    co_await Read(other);
    co_await asio::async_write(other, asio::buffer(*second),
                               asio::use_awaitable);
  }

  static asio::awaitable<void> Read(tcp::socket& socket) {
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                    "\r\n\r\n", asio::use_awaitable);
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  HttpClient client_;
};

// Guards against the answer to a copy taken for the answer to both.
TEST_CASE_METHOD(HttpClientTest,
                 "HttpClient with a call sent again on a new connection tells "
                 "that an earlier copy was lost") {
  const HttpOutcome outcome = CallOnResetConnection(kUnhealthy);
  CHECK(outcome.failure == HttpFailure::kNone);
  CHECK(outcome.response.status == 503);
  CHECK(outcome.earlier_copy_lost);
}

// Guards against "not run" said of a call of which a copy had been sent.
TEST_CASE_METHOD(HttpClientTest,
                 "HttpClient with a call that cannot be sent again does not "
                 "say that nothing was sent") {
  const HttpOutcome outcome = CallOnResetConnection(std::nullopt);
  CHECK(outcome.failure == HttpFailure::kNoAnswer);
  CHECK(outcome.refused);
  CHECK(outcome.earlier_copy_lost);
}

/// A server that answers one request with a response without end.
HttpOutcome CallEndlessServer(const std::string& head, HttpCall call) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  call.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const std::string piece(100'000, 'x');
  std::size_t sent = 0;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        tcp::socket socket =
            co_await acceptor.async_accept(asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(head),
                                   asio::use_awaitable);
        while (!error && sent < 100'000'000) {
          sent += co_await asio::async_write(
              socket, asio::buffer(piece),
              asio::redirect_error(asio::use_awaitable, error));
        }
      },
      asio::detached);
  HttpClient client(io);
  HttpOutcome outcome;
  client.Start(call, [&](HttpOutcome result) { outcome = std::move(result); });
  io.run();
  CHECK(sent < 20'000'000);
  return outcome;
}

// Guards against a worker or a store that fills the memory of its caller.
TEST_CASE("HttpClient with a response without end gives the call up") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  HttpCall call;
  call.max_response_bytes = 1'000'000;
  for (const std::string& start :
       {head + "h: ", chunked + "2;e=", chunked + "2\r\n{}\r\n0\r\nt: ",
        chunked + "7fffffff\r\n", head + "\r\n"}) {
    const HttpOutcome outcome = CallEndlessServer(start, call);
    CHECK(outcome.failure == HttpFailure::kNoAnswer);
    CHECK(outcome.message != "timeout");
  }
}

}  // namespace
}  // namespace geranium
