#ifndef GERANIUM_RUNTIME_CLIENT_LIMITS_H_
#define GERANIUM_RUNTIME_CLIENT_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "runtime/connection_table.h"
#include "runtime/http.h"

namespace geranium {

/// What the clients of one HTTP server may use.
struct HttpServerLimits {
  static constexpr std::size_t kMaxBodyBytes = 8U << 20U;

  std::size_t max_body_bytes = kMaxBodyBytes;
  /// Of one request: header section, chunk extensions and trailers together.
  std::size_t max_request_overhead_bytes = 16'384;
  /// Of all requests that are being read or handled.
  std::size_t max_request_memory_bytes = 256U << 20U;
  std::size_t max_connections = 100'000;
};

/// The limits of a server to which no request has a body.
HttpServerLimits SmallServerLimits();

/// Why a request was refused or a connection closed.
enum class ClientLimit {
  kBody,            ///< 413
  kPayload,         ///< 413: of a job.
  kOverhead,        ///< 431
  kRequestMemory,   ///< 413: the request alone exceeds the memory.
  kMemoryShortage,  ///< 503: it does not fit beside others.
  kEvictedRequest,  ///< Closed: its request arrived too slowly.
  kConnections,     ///< Closed: too many connections.
};
inline constexpr int kClientLimits = 7;

/// The name used in logs and metrics.
const char* Name(ClientLimit limit);

/// How often clients met each limit, by `ClientLimit`.
using ClientLimitCounts = std::uint64_t[kClientLimits];

using OnClientLimit =
    std::function<void(ClientLimit limit, const std::string& peer)>;

/// A refusal which says that the request was not run.
HttpResponse ClientLimitResponse(ClientLimit limit);
/// The limit that was met if memory was not reserved.
ClientLimit ToClientLimit(ConnectionTable::Outcome outcome);

/// Memory of header or trailer fields, parsed and copied, for each of them.
inline constexpr std::size_t kFieldBytes = 256;

/// Upper estimate of the memory that handling a request takes at first, while
/// its body, which may be JSON, is parsed.
std::size_t EstimateParsingMemory(const std::string& body);
/// The same from then on until the response.
std::size_t EstimateHandlingMemory(const std::string& body);

/// The number of connections that leave `limit` descriptors to the rest of the
/// process, at most `max_connections`.
std::size_t BoundConnections(std::size_t max_connections, std::size_t limit);
/// The number of descriptors that the process may open.
std::size_t DescriptorLimit();

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_CLIENT_LIMITS_H_
