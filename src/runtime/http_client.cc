#include "runtime/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>
#include <vector>

namespace geranium {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t kMostIdle = 64;
constexpr std::uint64_t kMostAnswerBytes = 64U << 20U;

struct Running {
  std::shared_ptr<beast::tcp_stream> stream;
  bool aborted = false;
};

bool ParseEndpoint(const std::string& address, tcp::endpoint& endpoint) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  beast::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error) return false;
  const int port = std::atoi(address.c_str() + colon + 1);
  endpoint = tcp::endpoint(ip, static_cast<unsigned short>(port));
  return true;
}

http::request<http::string_body> ToMessage(const HttpCall& call) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(call.method);
  message.target(call.target);
  message.set(http::field::host, call.address);
  message.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : call.headers) message.set(name, value);
  message.keep_alive(!call.on_fresh_connection);
  message.body() = call.body;
  message.prepare_payload();
  return message;
}

HttpOutcome Failed(HttpFailure failure, const std::string& message) {
  HttpOutcome outcome;
  outcome.failure = failure;
  outcome.message = message;
  return outcome;
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& io) : io_(io) {}

  Handle Start(HttpCall call, Callback callback) {
    auto running = std::make_shared<Running>();
    asio::co_spawn(
        io_,
        Run(shared_from_this(), running, std::move(call), std::move(callback)),
        asio::detached);
    return running;
  }

  void CloseIdle() { idle_.clear(); }

 private:
  using StreamPtr = std::shared_ptr<beast::tcp_stream>;

  static asio::awaitable<void> Run(std::shared_ptr<Impl> self,
                                   std::shared_ptr<Running> running,
                                   HttpCall call, Callback callback) {
    StreamPtr stream;
    if (!call.on_fresh_connection) stream = self->TakeIdle(call.address);
    const bool was_idle = stream != nullptr;
    HttpOutcome outcome =
        co_await Attempt(self, running, call, std::move(stream));
    // The server may have closed a kept connection meanwhile; such calls may
    // be repeated, by the choice of whoever allowed a kept connection.
    const bool again = was_idle && call.repeats_on_broken &&
                       !running->aborted &&
                       outcome.failure == HttpFailure::kNoAnswer &&
                       outcome.message != "timeout";
    if (again) outcome = co_await Attempt(self, running, call, nullptr);
    if (running->aborted) outcome = Failed(HttpFailure::kAborted, "aborted");
    running->stream.reset();
    callback(std::move(outcome));
  }

  static asio::awaitable<HttpOutcome> Attempt(std::shared_ptr<Impl> self,
                                              std::shared_ptr<Running> running,
                                              const HttpCall& call,
                                              StreamPtr stream) {
    beast::error_code error;
    if (stream == nullptr) {
      tcp::endpoint endpoint;
      if (!ParseEndpoint(call.address, endpoint)) {
        co_return Failed(HttpFailure::kNotConnected,
                         "not an ip:port: " + call.address);
      }
      stream = std::make_shared<beast::tcp_stream>(self->io_);
      running->stream = stream;
      stream->expires_after(std::chrono::milliseconds(call.timeout.ms()));
      co_await stream->async_connect(
          endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return Failed(HttpFailure::kNotConnected, error.message());
      stream->socket().set_option(tcp::no_delay(true), error);
    }
    running->stream = stream;
    stream->expires_after(std::chrono::milliseconds(call.timeout.ms()));
    const auto message = ToMessage(call);
    co_await http::async_write(
        *stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return NoAnswer(error);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMostAnswerBytes);
    co_await http::async_read(*stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return NoAnswer(error);
    auto answer = parser.release();
    HttpOutcome outcome;
    outcome.response.status = answer.result_int();
    outcome.response.content_type =
        std::string(answer[http::field::content_type]);
    outcome.response.body = std::move(answer.body());
    if (answer.keep_alive() && !call.on_fresh_connection) {
      stream->expires_never();
      self->KeepIdle(call.address, std::move(stream));
    }
    co_return outcome;
  }

  static HttpOutcome NoAnswer(const beast::error_code& error) {
    const bool timeout = error == beast::error::timeout;
    return Failed(HttpFailure::kNoAnswer,
                  timeout ? "timeout" : error.message());
  }

  StreamPtr TakeIdle(const std::string& address) {
    auto& kept = idle_[address];
    if (kept.empty()) return nullptr;
    StreamPtr stream = std::move(kept.back());
    kept.pop_back();
    return stream;
  }

  void KeepIdle(const std::string& address, StreamPtr stream) {
    auto& kept = idle_[address];
    if (kept.size() < kMostIdle) kept.push_back(std::move(stream));
  }

  asio::io_context& io_;
  std::map<std::string, std::vector<StreamPtr>> idle_;
};

HttpClient::HttpClient(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io)) {}

HttpClient::~HttpClient() = default;

HttpClient::Handle HttpClient::Start(HttpCall call, Callback callback) {
  return impl_->Start(std::move(call), std::move(callback));
}

void HttpClient::Abort(const Handle& handle) {
  const auto running = std::static_pointer_cast<Running>(handle);
  running->aborted = true;
  if (running->stream) running->stream->close();
}

void HttpClient::CloseIdle() { impl_->CloseIdle(); }

HttpOutcome Fetch(const HttpCall& call) {
  asio::io_context io;
  HttpClient client(io);
  HttpOutcome outcome;
  client.Start(call, [&](HttpOutcome ended) {
    outcome = std::move(ended);
    client.CloseIdle();
  });
  io.run();
  return outcome;
}

Result<HttpResponse> ToResult(const HttpOutcome& outcome,
                              const std::string& step,
                              const std::string& peer) {
  if (outcome.failure == HttpFailure::kNone) return outcome.response;
  const bool unsent = outcome.failure == HttpFailure::kNotConnected;
  return Error{ErrorCode::kConnection, step, peer, outcome.message,
               unsent ? Execution::kNotRun : Execution::kMayHaveRun};
}

}  // namespace geranium
