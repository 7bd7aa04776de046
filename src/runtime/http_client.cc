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

constexpr std::size_t kMaxIdleConnections = 64;
/// Bounds the header section and each chunk extension and trailer section,
/// which are buffered until they are complete.
constexpr std::size_t kMaxBufferedBytes = 65'536;

struct CallState {
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
  message.keep_alive(!call.use_new_connection);
  message.body() = call.body;
  message.prepare_payload();
  return message;
}

HttpOutcome MakeFailure(HttpFailure failure, const std::string& message) {
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
    auto state = std::make_shared<CallState>();
    asio::co_spawn(
        io_,
        Run(shared_from_this(), state, std::move(call), std::move(callback)),
        asio::detached);
    return state;
  }

  void CloseIdleConnections() { idle_connections_.clear(); }

 private:
  using StreamPtr = std::shared_ptr<beast::tcp_stream>;

  static asio::awaitable<void> Run(std::shared_ptr<Impl> self,
                                   std::shared_ptr<CallState> state,
                                   HttpCall call, Callback callback) {
    StreamPtr stream;
    if (!call.use_new_connection)
      stream = self->TakeIdleConnection(call.address);
    const bool was_reused = stream != nullptr;
    HttpOutcome outcome =
        co_await Attempt(self, state, call, std::move(stream));
    // The server may have closed the idle connection meanwhile. Whoever allows
    // a reused connection accepts that the call may be sent twice.
    const bool retry = was_reused && call.retry_on_broken_connection &&
                       !state->aborted &&
                       outcome.failure == HttpFailure::kNoAnswer &&
                       outcome.message != "timeout";
    if (retry) {
      outcome = co_await Attempt(self, state, call, nullptr);
      outcome.earlier_copy_lost = true;
      // Not connected would say that nothing was sent.
      if (outcome.failure == HttpFailure::kNotConnected) {
        outcome.failure = HttpFailure::kNoAnswer;
      }
    }
    if (state->aborted) outcome = MakeFailure(HttpFailure::kAborted, "aborted");
    state->stream.reset();
    callback(std::move(outcome));
  }

  static asio::awaitable<HttpOutcome> Attempt(std::shared_ptr<Impl> self,
                                              std::shared_ptr<CallState> state,
                                              const HttpCall& call,
                                              StreamPtr stream) {
    beast::error_code error;
    if (stream == nullptr) {
      tcp::endpoint endpoint;
      if (!ParseEndpoint(call.address, endpoint)) {
        co_return MakeFailure(
            HttpFailure::kNotConnected,
            "invalid address, expected ip:port: " + call.address);
      }
      stream = std::make_shared<beast::tcp_stream>(self->io_);
      state->stream = stream;
      stream->expires_after(std::chrono::milliseconds(call.timeout.ms()));
      co_await stream->async_connect(
          endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        HttpOutcome failed =
            MakeFailure(HttpFailure::kNotConnected, error.message());
        failed.refused = error == asio::error::connection_refused;
        co_return failed;
      }
      stream->socket().set_option(tcp::no_delay(true), error);
    }
    state->stream = stream;
    stream->expires_after(std::chrono::milliseconds(call.timeout.ms()));
    const auto message = ToMessage(call);
    co_await http::async_write(
        *stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return MakeNoAnswer(error);
    beast::flat_buffer buffer(kMaxBufferedBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(call.max_response_bytes);
    co_await http::async_read(*stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return MakeNoAnswer(error);
    auto answer = parser.release();
    HttpOutcome outcome;
    outcome.response.status = answer.result_int();
    outcome.response.content_type =
        std::string(answer[http::field::content_type]);
    outcome.response.body = std::move(answer.body());
    if (answer.keep_alive() && !call.use_new_connection) {
      stream->expires_never();
      self->KeepIdleConnection(call.address, std::move(stream));
    }
    co_return outcome;
  }

  static HttpOutcome MakeNoAnswer(const beast::error_code& error) {
    const bool timeout = error == beast::error::timeout;
    return MakeFailure(HttpFailure::kNoAnswer,
                       timeout ? "timeout" : error.message());
  }

  StreamPtr TakeIdleConnection(const std::string& address) {
    auto& connections = idle_connections_[address];
    if (connections.empty()) return nullptr;
    StreamPtr stream = std::move(connections.back());
    connections.pop_back();
    return stream;
  }

  void KeepIdleConnection(const std::string& address, StreamPtr stream) {
    auto& connections = idle_connections_[address];
    if (connections.size() < kMaxIdleConnections)
      connections.push_back(std::move(stream));
  }

  asio::io_context& io_;
  std::map<std::string, std::vector<StreamPtr>> idle_connections_;
};

HttpClient::HttpClient(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io)) {}

HttpClient::~HttpClient() = default;

HttpClient::Handle HttpClient::Start(HttpCall call, Callback callback) {
  return impl_->Start(std::move(call), std::move(callback));
}

void HttpClient::Abort(const Handle& handle) {
  const auto state = std::static_pointer_cast<CallState>(handle);
  state->aborted = true;
  if (state->stream) state->stream->close();
}

void HttpClient::CloseIdleConnections() { impl_->CloseIdleConnections(); }

HttpOutcome Fetch(const HttpCall& call) {
  asio::io_context io;
  HttpClient client(io);
  HttpOutcome outcome;
  client.Start(call, [&](HttpOutcome result) {
    outcome = std::move(result);
    client.CloseIdleConnections();
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
