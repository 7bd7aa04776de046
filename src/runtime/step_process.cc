#include "runtime/step_process.h"

#include <boost/asio/post.hpp>

namespace geranium {

bool CheckListenOutcomes(const std::vector<ListenOutcome>& outcomes) {
  for (const auto& [address, error] : outcomes) {
    if (error.empty()) continue;
    LogEvent(LogLevel::kError, "listen_failed",
             {{"address", address}, {"message", error}});
    return false;
  }
  return true;
}

HttpServerLimits ToServerLimits(const ClientLimitSettings& settings) {
  HttpServerLimits limits;
  limits.max_connections = settings.max_connections;
  limits.max_request_overhead_bytes = settings.max_request_overhead_bytes;
  limits.max_request_memory_bytes = settings.max_request_memory_bytes;
  return limits;
}

OnClientLimit ClientLimitMonitor::Observe(const std::string& server) {
  return [this, server](ClientLimit limit, const std::string& peer) {
    ++counts_[static_cast<int>(limit)];
    write_(LogMessage{
        LogLevel::kWarning,
        "client_limit",
        {{"server", server}, {"limit", Name(limit)}, {"peer", peer}}});
  };
}

MetricsEndpoint::MetricsEndpoint(boost::asio::io_context& control,
                                 boost::asio::io_context& traffic,
                                 Collect collect)
    : control_(control),
      collect_(std::move(collect)),
      server_(
          traffic,
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            HandleRequest(exchange);
          },
          HttpServer::HalfClose::kIgnored, SmallServerLimits()) {}

void MetricsEndpoint::HandleRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->request().path != "/metrics") {
    HttpResponse response;
    response.status = 404;
    exchange->Reply(std::move(response));
    return;
  }
  boost::asio::post(control_, [this, exchange] {
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = MetricsText(collect_());
    exchange->Reply(std::move(response));
  });
}

}  // namespace geranium
