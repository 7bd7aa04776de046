#ifndef GERANIUM_STANDINS_PLATFORM_STORE_H_
#define GERANIUM_STANDINS_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "runtime/http_server.h"

namespace geranium::standins {

/// Stand-in for the platform's store: partitions of keyed records. Partition 0
/// of `keyed.op` is the operator's log; others are created by appends.
class PlatformStore {
 public:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  explicit PlatformStore(boost::asio::io_context& io) : io_(io) {}

  void Put(const std::string& key, const std::string& value) {
    OperatorLog().records.emplace_back(key, value);
  }
  void SetAvailable(bool available) { available_ = available; }
  /// Makes one partition unavailable, or available again.
  void SetPartitionAvailable(const std::string& topic, int partition,
                             bool available) {
    partitions_[{topic, partition}].available = available;
  }
  /// While set, requests get no answer.
  void SetSilent(bool silent) { silent_ = silent; }
  /// Keeps only the newest record of each key of the operator's log.
  void Compact() {
    OperatorLog().oldest_readable = OperatorLog().records.size();
  }
  void Serve(const ExchangePtr& exchange);

 private:
  struct Partition {
    std::deque<std::pair<std::string, std::string>> records;
    std::size_t oldest_readable = 0;  ///< Lowest offset that can be read.
    bool available = true;
  };

  Partition& OperatorLog() { return partitions_[{"keyed.op", 0}]; }
  Partition* Find(const HttpRequest& request);
  HttpResponse Append(const HttpRequest& request);
  static HttpResponse ReadNewest(const Partition& partition);
  void Read(const ExchangePtr& exchange, const Partition& partition,
            std::size_t from, std::chrono::steady_clock::time_point until);

  boost::asio::io_context& io_;
  /// By topic and number; none is ever removed.
  std::map<std::pair<std::string, int>, Partition> partitions_;
  bool available_ = true;
  bool silent_ = false;
  /// Kept so that their connections stay open.
  std::vector<ExchangePtr> unanswered_;
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_PLATFORM_STORE_H_
