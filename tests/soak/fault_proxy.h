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

/// A fault of the connections on one path.
struct PathFault {
  Duration delay;                  ///< Added in each direction.
  bool stall_to_server = false;    ///< From the client to the server.
  bool stall_to_client = false;    ///< From the server to the client.
  bool reset = false;              ///< Resets the open connections once.
  double reset_share = 1;          ///< Of the open connections.
  bool single_connection = false;  ///< Affects one open connection only.
};

/// Forwards TCP connections on loopback and injects faults. Bytes held by a
/// stalled path are delivered once it heals. Runs on a thread of its own; its
/// functions may be called from another.
class FaultProxy {
 public:
  FaultProxy();
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Accepts connections at `listen` for the server at `target`; both ip:port.
  void Forward(const std::string& listen, const std::string& target);
  /// Applies the fault to all present and future connections at `listen` (with
  /// `single_connection`, to one open one), replacing an earlier fault; a reset
  /// leaves an earlier fault of the path in place.
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
