#include "runtime/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace geranium {
namespace {

/// Kept for files, links, the operator's log and other servers. The smallest
/// entry has 3,075 descriptors, of which 200 are for files.
constexpr std::size_t kReservedDescriptors = 375;

/// A JSON value with its share of the copy that is made of lists and of the
/// step that it becomes. Bodies of 87,000 empty objects took 450 bytes each,
/// at two characters that are counted.
constexpr std::size_t kParsedValueBytes = 256;
/// Of these, what the job takes after parsing.
constexpr std::size_t kKeptValueBytes = 128;
/// The body, its parsed strings, the copies of lists and the payload.
constexpr std::size_t kParsedCopies = 4;
/// The body and the payload.
constexpr std::size_t kKeptCopies = 2;

// Characters outside strings after which a JSON value may follow.
std::size_t CountValues(const std::string& body) {
  std::size_t count = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < body.size(); ++i) {
    const char c = body[i];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      if (c == '\\') ++i;
    } else if (c == ',' || c == ':' || c == '{' || c == '[') {
      ++count;
    }
  }
  return count;
}

}  // namespace

HttpServerLimits SmallServerLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 65'536;
  limits.max_request_memory_bytes = 4U << 20U;
  limits.max_connections = 32;
  return limits;
}

const char* Name(ClientLimit limit) {
  switch (limit) {
    case ClientLimit::kBody:
      return "body";
    case ClientLimit::kPayload:
      return "payload";
    case ClientLimit::kOverhead:
      return "overhead";
    case ClientLimit::kRequestMemory:
      return "request_memory";
    case ClientLimit::kMemoryShortage:
      return "memory_shortage";
    case ClientLimit::kEvictedRequest:
      return "evicted_request";
    case ClientLimit::kConnections:
      return "connections";
  }
  return "unknown";
}

HttpResponse ClientLimitResponse(ClientLimit limit) {
  HttpResponse response;
  std::string code = "too_large";
  std::string message;
  switch (limit) {
    case ClientLimit::kOverhead:
      response.status = 431;
      message = "header section, chunk extensions and trailers too large";
      break;
    case ClientLimit::kMemoryShortage:
      response.status = 503;
      response.retry_after_s = 1;
      code = "overloaded";
      message = "no memory for the request beside those being handled";
      break;
    case ClientLimit::kRequestMemory:
      response.status = 413;
      message = "the request would take too much memory";
      break;
    case ClientLimit::kPayload:
      response.status = 413;
      message = "the job's payload is too large";
      break;
    default:
      response.status = 413;
      message = "body limit exceeded";
  }
  response.body = R"({"error":{"code":")" + code +
                  R"(","step":"read request","peer":"caller",)"
                  R"("execution":"not_run","message":")" +
                  message + R"("}})" + "\n";
  return response;
}

ClientLimit ToClientLimit(ConnectionTable::Outcome outcome) {
  return outcome == ConnectionTable::Outcome::kTooLarge
             ? ClientLimit::kRequestMemory
             : ClientLimit::kMemoryShortage;
}

std::size_t EstimateParsingMemory(const std::string& body) {
  return kParsedCopies * body.size() + kParsedValueBytes * CountValues(body);
}

std::size_t EstimateHandlingMemory(const std::string& body) {
  return kKeptCopies * body.size() + kKeptValueBytes * CountValues(body);
}

std::size_t BoundConnections(std::size_t max_connections, std::size_t limit) {
  const std::size_t reserved = std::min(kReservedDescriptors, limit / 2);
  return std::max<std::size_t>(1, std::min(max_connections, limit - reserved));
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace geranium
