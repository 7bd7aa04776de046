#ifndef GERANIUM_TESTS_SOAK_FAULT_PROXY_H_
#define GERANIUM_TESTS_SOAK_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"

namespace geranium::soak {

/// What is done to the bytes of a connection.
struct PathFault {
  Duration delay;                  ///< Added one way.
  bool stall_to_server = false;    ///< From the client to the server.
  bool stall_to_client = false;    ///< From the server to the client.
  bool reset = false;              ///< The connections are reset, once.
  bool single_connection = false;  ///< Only one of those open, and no new ones.
};

/// Forwards TCP connections on loopback and does to them what it is told. Bytes
/// that a silent path holds back are delivered when it heals. Has a thread of
/// its own; all calls may come from another.
class FaultProxy {
 public:
  FaultProxy();
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Takes connections at `listen` for the server at `target`; both ip:port.
  void Forward(const std::string& listen, const std::string& target);
  /// Applies the fault to all connections taken at `listen`, those to come
  /// included, in place of an earlier one.
  void SetFault(const std::string& listen, const PathFault& fault);
  void HealAll();

 private:
  class Path;

  boost::asio::io_context io_;
  std::map<std::string, std::shared_ptr<Path>> paths_;
  std::thread thread_;
};

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_FAULT_PROXY_H_
