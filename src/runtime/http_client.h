#ifndef GERANIUM_RUNTIME_HTTP_CLIENT_H_
#define GERANIUM_RUNTIME_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "runtime/http.h"

namespace geranium {

/// One request to the server at `address` (ip:port).
struct HttpCall {
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  Duration timeout{5000};
  /// A response with a larger body counts as none.
  std::size_t max_response_bytes = 64U << 20U;
  /// Opens a connection for this call alone, so that it is never retried after
  /// the connect.
  bool use_new_connection = false;
  /// Retries on a new connection if a reused one turns out to be broken.
  bool retry_on_broken_connection = true;
};

enum class HttpFailure {
  kNone,
  kNotConnected,  ///< Nothing was sent.
  kNoAnswer,      ///< May have been sent; no complete response came.
  kAborted,
};

struct HttpOutcome {
  HttpFailure failure = HttpFailure::kNone;
  HttpResponse response;
  std::string message;
  bool refused = false;  ///< Nothing listens at the address.
  /// A copy of the call was sent before, on a connection that broke: it may
  /// have been carried out, or may yet be.
  bool earlier_copy_lost = false;
};

/// An HTTP/1.1 client. Keeps connections alive for calls that may be repeated.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;
  using Handle = std::shared_ptr<void>;

  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  /// Starts a call; must be called on the io_context's thread, where `callback`
  /// runs too. The handle can be passed to `Abort`.
  Handle Start(HttpCall call, Callback callback);
  void Abort(const Handle& handle);
  void CloseIdleConnections();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Makes one call and blocks the calling thread until it ends.
HttpOutcome Fetch(const HttpCall& call);

/// The outcome as a response, or as an error with this step and peer.
Result<HttpResponse> ToResult(const HttpOutcome& outcome,
                              const std::string& step, const std::string& peer);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_HTTP_CLIENT_H_
