#ifndef GERANIUM_RUNTIME_REQUEST_READER_H_
#define GERANIUM_RUNTIME_REQUEST_READER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>

#include "runtime/client_limits.h"

namespace geranium {

/// Reads the requests of one connection within the server's limits.
class RequestReader {
 public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;
  /// Reserves this much memory for the request.
  using Reserve = std::function<ConnectionTable::Outcome(std::size_t bytes)>;

  struct Outcome {
    std::optional<Message> message;
    std::optional<ClientLimit> limit;  ///< The one that was exceeded.
    boost::beast::error_code error;
    std::size_t memory = 0;  ///< Of the message, without its body.
  };

  RequestReader(boost::beast::tcp_stream& stream,
                const HttpServerLimits& limits, Reserve reserve)
      : stream_(stream), limits_(limits), reserve_(std::move(reserve)) {}

  /// The next request. The stream's timeout applies to it as a whole.
  boost::asio::awaitable<Outcome> Read();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Bytes of one request so far.
  struct Progress {
    std::size_t parsed = 0;
    std::size_t chunks = 0;
    std::size_t fields = 0;
    bool counted_header = false;
  };

  /// Parses what is buffered; returns whether the request has ended, whether
  /// complete or not.
  bool Parse(Parser& parser, Progress& progress, Outcome& outcome);
  std::optional<ClientLimit> FindExceededLimit(const Parser& parser,
                                               Progress& progress,
                                               Outcome& outcome);

  boost::beast::tcp_stream& stream_;
  const HttpServerLimits& limits_;
  Reserve reserve_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_REQUEST_READER_H_
