#ifndef GERANIUM_STANDINS_PLATFORM_STORE_H_
#define GERANIUM_STANDINS_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "runtime/http_server.h"

namespace geranium::standins {

/// A stand-in for the operator's log: one partition of keyed records.
class PlatformStore {
 public:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  explicit PlatformStore(boost::asio::io_context& io) : io_(io) {}

  void Put(const std::string& key, const std::string& value) {
    records_.emplace_back(key, value);
  }
  void SetUp(bool up) { up_ = up; }
  void Serve(const ExchangePtr& exchange);

 private:
  HttpResponse Newest() const;
  void Read(const ExchangePtr& exchange, std::size_t from,
            std::chrono::steady_clock::time_point until);

  boost::asio::io_context& io_;
  std::deque<std::pair<std::string, std::string>> records_;
  bool up_ = true;
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_PLATFORM_STORE_H_
