#ifndef GERANIUM_STANDINS_PLATFORM_STORE_H_
#define GERANIUM_STANDINS_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "runtime/http_server.h"

namespace geranium::standins {

/// Stand-in for the operator's log: one partition of keyed records.
class PlatformStore {
 public:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  explicit PlatformStore(boost::asio::io_context& io) : io_(io) {}

  void Put(const std::string& key, const std::string& value) {
    records_.emplace_back(key, value);
  }
  void SetAvailable(bool available) { available_ = available; }
  /// While set, requests get no answer.
  void SetSilent(bool silent) { silent_ = silent; }
  /// Keeps only the newest record of each key.
  void Compact() { oldest_readable_ = records_.size(); }
  void Serve(const ExchangePtr& exchange);

 private:
  HttpResponse ReadNewest() const;
  void Read(const ExchangePtr& exchange, std::size_t from,
            std::chrono::steady_clock::time_point until);

  boost::asio::io_context& io_;
  std::deque<std::pair<std::string, std::string>> records_;
  std::size_t oldest_readable_ = 0;  ///< Lowest offset that can be read.
  bool available_ = true;
  bool silent_ = false;
  /// Kept so that their connections stay open.
  std::vector<ExchangePtr> unanswered_;
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_PLATFORM_STORE_H_
