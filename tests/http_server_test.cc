#include "runtime/http_server.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

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
  void Start(int port, HalfClose half_close, HttpServerLimits limits = {}) {
    port_ = static_cast<unsigned short>(kBasePort + port);
    server_ = std::make_unique<HttpServer>(
        io_,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          ++handled_;
          exchange->Reply(HttpResponse{});
        },
        half_close, limits);
    REQUIRE(server_->Listen("127.0.0.1:" + std::to_string(port_)).empty());
  }

  tcp::socket SendRequest() {
    return Send(
        "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
  }

  tcp::socket Send(const std::string& bytes) {
    tcp::socket socket(client_io_);
    socket.connect({asio::ip::address_v4::loopback(), port_});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }

  /// As above, for more than the socket's buffers hold.
  tcp::socket SendLater(const std::string& bytes) {
    tcp::socket socket(client_io_);
    socket.connect({asio::ip::address_v4::loopback(), port_});
    std::thread sender([&] { asio::write(socket, asio::buffer(bytes)); });
    io_.run_for(std::chrono::milliseconds(200));
    sender.join();
    return socket;
  }

  /// The status of the response; 0 if the connection was closed without one.
  int ReadStatus(tcp::socket& socket) {
    io_.run_for(std::chrono::milliseconds(200));
    socket.non_blocking(true);
    char bytes[64] = {};
    boost::system::error_code error;
    const std::size_t count = socket.read_some(asio::buffer(bytes), error);
    return count < 12 ? 0 : std::stoi(std::string(bytes + 9, 3));
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

constexpr char kChunked[] =
    "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

// Such requests were buffered without a limit.
TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with more overhead than allowed answers 431") {
  Start(4, HalfClose::kIgnored);
  const std::string filler(20'000, 'x');
  for (const std::string& request :
       {std::string(kChunked) + "0\r\nt: " + filler,
        std::string(kChunked) + "2;e=" + filler,
        std::string(kChunked) + std::string(20'000, '0'),
        "GET / HTTP/1.1\r\nh: " + filler}) {
    tcp::socket caller = Send(request);
    CHECK(ReadStatus(caller) == 431);
  }
  CHECK(CountHandled() == 0);
}

TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with a body in chunks of one byte and trailers "
                 "handles the request") {
  Start(5, HalfClose::kIgnored);
  std::string request = kChunked;
  for (int i = 0; i < 50'000; ++i) request += "1\r\n \r\n";
  tcp::socket caller =
      Send(request + "0\r\nt: " + std::string(8000, 'x') + "\r\n\r\n");
  CHECK(ReadStatus(caller) == 200);
}

TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with a body above its limit answers 413") {
  HttpServerLimits limits;
  limits.max_body_bytes = 1;
  Start(6, HalfClose::kIgnored, limits);
  tcp::socket caller = SendRequest();
  CHECK(ReadStatus(caller) == 413);
}

// A request that could never be handled must not evict others for it.
TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with a body of more values than its memory holds "
                 "answers 413") {
  HttpServerLimits limits;
  limits.max_request_memory_bytes = 1U << 20U;
  Start(7, HalfClose::kIgnored, limits);
  tcp::socket caller =
      Send("POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n" +
           std::string(10'000, '['));
  CHECK(ReadStatus(caller) == 413);
  CHECK(CountHandled() == 0);
}

TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with unfinished requests up to its memory still "
                 "handles a whole one") {
  HttpServerLimits limits;
  limits.max_request_memory_bytes = 1U << 20U;
  Start(8, HalfClose::kIgnored, limits);
  std::vector<tcp::socket> crowd;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(Send(
        "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n" +
        std::string(100'000, 'x')));
  }
  CHECK(CountHandled() == 0);
  tcp::socket caller = SendRequest();
  CHECK(ReadStatus(caller) == 200);
}

TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with as many idle connections as allowed closes "
                 "the oldest for a new one") {
  HttpServerLimits limits;
  limits.max_connections = 2;
  Start(9, HalfClose::kIgnored, limits);
  std::vector<tcp::socket> crowd;
  for (int i = 0; i < 4; ++i) crowd.push_back(Send("P"));
  tcp::socket caller = SendRequest();
  CHECK(ReadStatus(caller) == 200);
}

// Clients may send bodies of up to 8 MiB, or dense ones of up to 262,144 bytes.
TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer with the memory of an entry handles the largest "
                 "bodies that clients may send") {
  HttpServerLimits limits;
  limits.max_request_memory_bytes = 40U << 20U;
  Start(10, HalfClose::kIgnored, limits);
  std::string steps;
  while (steps.size() < 262'000) steps += R"({"count":1,"cpu":10},)";
  for (const std::string& body :
       {'"' + std::string((8U << 20U) - 2, 'x') + '"', steps}) {
    tcp::socket caller =
        SendLater("POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(ReadStatus(caller) == 200);
  }
}

}  // namespace
}  // namespace geranium
