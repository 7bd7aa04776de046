#include "runtime/request_reader.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iterator>
#include <utility>

namespace geranium {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Most requests fit in one read of this size.
constexpr std::size_t kHeaderReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 16'384;

/// Framing of a chunk that is not charged as overhead: its size in up to 16
/// digits and two line ends. A client may send its body in chunks of one byte.
constexpr std::size_t kChunkFramingBytes = 20;

/// Memory of fields while the header section arrives, for each byte: the
/// shortest field has four bytes and takes 80 in the parser.
constexpr std::size_t kHeaderFactor = 24;

std::size_t CountFields(const http::request<http::string_body>& message) {
  return static_cast<std::size_t>(
      std::distance(message.begin(), message.end()));
}

std::optional<ClientLimit> ToLimit(const beast::error_code& error) {
  if (error == http::error::body_limit) return ClientLimit::kBody;
  if (error == http::error::header_limit) return ClientLimit::kOverhead;
  return std::nullopt;
}

}  // namespace

// Beast's read functions buffer chunk extensions and trailers without a limit
// and report no progress, so the parser is fed here.
asio::awaitable<RequestReader::Outcome> RequestReader::Read() {
  Parser parser;
  parser.eager(true);
  parser.body_limit(limits_.max_body_bytes);
  parser.header_limit(
      static_cast<std::uint32_t>(limits_.max_request_overhead_bytes));
  Progress progress;
  auto on_chunk = [&progress](
                      std::uint64_t /*size*/, beast::string_view /*extension*/,
                      beast::error_code& /*error*/) { ++progress.chunks; };
  parser.on_chunk_header(on_chunk);
  Outcome outcome;
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  while (buffer_.size() == 0 || !Parse(parser, progress, outcome)) {
    const std::size_t size =
        parser.is_header_done() ? kBodyReadBytes : kHeaderReadBytes;
    const std::size_t count = co_await stream_.async_read_some(
        buffer_.prepare(size),
        asio::redirect_error(asio::use_awaitable, outcome.error));
    buffer_.commit(count);
    if (outcome.error == asio::error::eof) {
      outcome.error = http::error::end_of_stream;
      if (parser.got_some()) parser.put_eof(outcome.error);
    }
    if (outcome.error) break;
  }
  co_return outcome;
}

bool RequestReader::Parse(Parser& parser, Progress& progress,
                          Outcome& outcome) {
  beast::error_code error;
  const std::size_t parsed = parser.put(buffer_.data(), error);
  buffer_.consume(parsed);
  progress.parsed += parsed;
  if (error == http::error::need_more) error = {};
  outcome.limit =
      error ? ToLimit(error) : FindExceededLimit(parser, progress, outcome);
  outcome.error = error;
  if (error || outcome.limit) {
    buffer_.clear();
    buffer_.shrink_to_fit();
    return true;
  }
  if (!parser.is_done()) return false;
  outcome.message = parser.release();
  return true;
}

std::optional<ClientLimit> RequestReader::FindExceededLimit(
    const Parser& parser, Progress& progress, Outcome& outcome) {
  const bool done = parser.is_done();
  // After the end of the request, what is buffered belongs to the next one.
  const std::size_t unparsed = done ? 0 : buffer_.size();
  const std::size_t body = parser.get().body().size();
  const std::size_t allowed = body +
                              kChunkFramingBytes * (progress.chunks + 1) +
                              limits_.max_request_overhead_bytes;
  if (progress.parsed + unparsed > allowed ||
      unparsed > limits_.max_request_overhead_bytes) {
    return ClientLimit::kOverhead;
  }
  if (done || (parser.is_header_done() && !progress.counted_header)) {
    progress.fields = CountFields(parser.get());
    progress.counted_header = true;
  }
  outcome.memory = progress.counted_header ? kFieldBytes * progress.fields
                                           : kHeaderFactor * progress.parsed;
  const auto reserved = reserve_(outcome.memory + buffer_.capacity() + body);
  if (reserved == ConnectionTable::Outcome::kReserved) return std::nullopt;
  return ToClientLimit(reserved);
}

}  // namespace geranium
