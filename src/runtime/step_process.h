#ifndef GERANIUM_RUNTIME_STEP_PROCESS_H_
#define GERANIUM_RUNTIME_STEP_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/log_message.h"
#include "runtime/http_server.h"
#include "runtime/logging.h"
#include "runtime/metrics.h"
#include "settings/step_settings.h"

// Shared by the entry and agent processes for step jobs.

namespace geranium {

/// Maximum redial delay, so that restarted processes are linked within about
/// one second.
inline constexpr Duration kMaxPlatformDialDelay{500};
/// Time reserved for the process to exit before SIGKILL.
inline constexpr Duration kShutdownMargin{300};

/// A listen address and the error of listening on it; empty on success.
using ListenOutcome = std::pair<std::string, std::string>;

/// True if all succeeded; logs the first failure.
bool CheckListenOutcomes(const std::vector<ListenOutcome>& outcomes);

/// The limits of the server at the callers' or the registration address.
HttpServerLimits ToServerLimits(const ClientLimitSettings& settings);

/// Counts and logs the limits that clients of the process's servers met.
class ClientLimitMonitor {
 public:
  using Write = std::function<void(const LogMessage&)>;

  explicit ClientLimitMonitor(Write write) : write_(std::move(write)) {}

  /// For the server called `server` in the log.
  OnClientLimit Observe(const std::string& server);
  const ClientLimitCounts& counts() const { return counts_; }

 private:
  Write write_;
  ClientLimitCounts counts_{};
};

/// Serves the metrics from `collect`, which is called on the control thread.
class MetricsEndpoint {
 public:
  using Collect = std::function<MetricFamilies()>;

  MetricsEndpoint(boost::asio::io_context& control,
                  boost::asio::io_context& traffic, Collect collect);

  /// Accepts connections at `ip:port`; returns an error text, empty on success.
  std::string Listen(const std::string& address) {
    return server_.Listen(address);
  }
  void SetOnClientLimit(OnClientLimit on_limit) {
    server_.SetOnClientLimit(std::move(on_limit));
  }

 private:
  void HandleRequest(const std::shared_ptr<HttpExchange>& exchange);

  boost::asio::io_context& control_;
  Collect collect_;
  HttpServer server_;
};

/// Rereads the settings file on request and periodically, since it may change
/// without a signal. Only changes of the entries' addresses take effect.
template <class Settings>
class SettingsReloader {
 public:
  /// How often the file is reread without a request.
  static constexpr Duration kInterval{3000};

  using Read = std::function<Result<Settings>()>;

  SettingsReloader(Read read, std::vector<std::string> entry_addresses)
      : read_(std::move(read)), entry_addresses_(std::move(entry_addresses)) {}

  /// The entries' addresses, if they have changed.
  std::optional<std::vector<std::string>> ReloadIfDue(TimePoint now) {
    if (now < next_reload_) return std::nullopt;
    next_reload_ = now + kInterval;
    return Reload(false);
  }
  /// As above, at once. The outcome of a requested reload is always logged,
  /// that of others only if it is new.
  std::optional<std::vector<std::string>> Reload(bool requested) {
    const Result<Settings> settings = read_();
    if (!settings) {
      const bool is_new = last_error_ != settings.error().message;
      last_error_ = settings.error().message;
      if (requested || is_new) {
        LogEvent(LogLevel::kError, "reload_failed",
                 ToLogFields(settings.error()));
      }
      return std::nullopt;
    }
    last_error_.clear();
    const bool changed = settings.value().entry_addresses != entry_addresses_;
    if (requested || changed) {
      LogEvent(LogLevel::kInfo, "settings_reloaded",
               {{"entries_changed", changed ? "true" : "false"}});
    }
    if (!changed) return std::nullopt;
    entry_addresses_ = settings.value().entry_addresses;
    return entry_addresses_;
  }

 private:
  Read read_;
  std::vector<std::string> entry_addresses_;
  TimePoint next_reload_;
  std::string last_error_;  ///< Of the last reload; empty if it succeeded.
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_PROCESS_H_
