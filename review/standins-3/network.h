#ifndef GERANIUM_REVIEW_STANDINS_3_NETWORK_H_
#define GERANIUM_REVIEW_STANDINS_3_NETWORK_H_

// clang-format off
#include <utility>  // Before Boost.Asio 1.74, which needs std::exchange.
// clang-format on

#include <sys/types.h>

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Finds out which of the case's own processes opened a loopback connection.
class Origins {
 public:
  void Add(const std::string& machine, pid_t pid) { pids_[machine] = pid; }
  /// The machine whose process has `port` as its local port; "" if none.
  std::string Find(unsigned short port, unsigned short peer_port) const;

 private:
  std::map<std::string, pid_t> pids_;
};

/// Says whether packets from one machine to another are lost.
using IsCut =
    std::function<bool(const std::string& from, const std::string& to)>;

/// A forwarder in front of one listener of a machine. While the path is cut,
/// bytes are held back, new connections time out, and a reset by one side does
/// not reach the other.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
 public:
  Forwarder(asio::io_context& io, const Origins& origins, const IsCut& is_cut,
            std::string machine, unsigned short listen, unsigned short target);

  void Start() { Accept(); }

 private:
  class Connection;

  void Accept();

  asio::io_context& io_;
  const Origins& origins_;
  const IsCut& is_cut_;
  std::string machine_;
  unsigned short listen_;
  unsigned short target_;
  Tcp::acceptor acceptor_;
};

}  // namespace review

#endif  // GERANIUM_REVIEW_STANDINS_3_NETWORK_H_
