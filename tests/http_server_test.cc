#include "runtime/http_server.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace geranium {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using HalfClose = HttpServer::HalfClose;

/// First port; each test listens on its own, since tests run in parallel.
constexpr int kBasePort = 29'600;

/// A server whose event loop stands still until `CountHandled`, as on a frozen
/// machine, while callers connect and disconnect.
class HttpServerTest {
 protected:
  void Start(int port, HalfClose half_close) {
    port_ = static_cast<unsigned short>(kBasePort + port);
    server_ = std::make_unique<HttpServer>(
        io_,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          ++handled_;
          exchange->Reply(HttpResponse{});
        },
        half_close);
    REQUIRE(server_->Listen("127.0.0.1:" + std::to_string(port_)).empty());
  }

  tcp::socket SendRequest() {
    tcp::socket socket(client_io_);
    socket.connect({asio::ip::address_v4::loopback(), port_});
    const std::string request =
        "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    asio::write(socket, asio::buffer(request));
    return socket;
  }

  int CountHandled() {
    io_.run_for(std::chrono::milliseconds(200));
    return handled_;
  }

 private:
  asio::io_context io_;
  asio::io_context client_io_;
  std::unique_ptr<HttpServer> server_;
  unsigned short port_ = 0;
  int handled_ = 0;
};

TEST_CASE_METHOD(
    HttpServerTest,
    "HttpServer with a caller that stays connected handles its request") {
  Start(0, HalfClose::kDisconnects);
  const tcp::socket caller = SendRequest();
  CHECK(CountHandled() == 1);
}

// The caller may already have retried at another server.
TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with a caller that reset its connection before "
                 "its request was read drops the request") {
  Start(1, HalfClose::kDisconnects);
  tcp::socket caller = SendRequest();
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  CHECK(CountHandled() == 0);
}

TEST_CASE_METHOD(
    HttpServerTest,
    "HttpServer with a caller that closed before its request was read drops "
    "the request if a half-close counts as a disconnect") {
  Start(2, HalfClose::kDisconnects);
  SendRequest().close();
  CHECK(CountHandled() == 0);
}

TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with a caller that half-closed its connection "
                 "handles the request if a half-close is ignored") {
  Start(3, HalfClose::kIgnored);
  tcp::socket caller = SendRequest();
  caller.shutdown(tcp::socket::shutdown_send);
  CHECK(CountHandled() == 1);
}

}  // namespace
}  // namespace geranium
