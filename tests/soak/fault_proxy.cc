#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <stdexcept>
#include <utility>

#include "base/random.h"

namespace geranium::soak {
namespace {

using Tcp = boost::asio::ip::tcp;
using Io = boost::asio::io_context;
using boost::system::error_code;

/// How often a stalled direction checks whether it has been healed.
constexpr auto kStallPollInterval = std::chrono::milliseconds(10);

Tcp::endpoint ToEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

// One forwarded connection: a pump for each direction.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Io& io, Tcp::socket client, std::shared_ptr<PathFault> fault)
      : client_(std::move(client)),
        server_(io),
        to_server_(io),
        to_client_(io),
        fault_(std::move(fault)) {}

  void Start(const Tcp::endpoint& target) {
    server_.async_connect(
        target, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Reset();
            return;
          }
          error_code ignored;
          self->server_.set_option(Tcp::no_delay(true), ignored);
          self->client_.set_option(Tcp::no_delay(true), ignored);
          self->Pump(true);
          self->Pump(false);
        });
  }

  bool is_open() const { return client_.is_open(); }
  /// Gives this connection a fault of its own, apart from its path's.
  void Detach(const PathFault& fault) {
    fault_ = std::make_shared<PathFault>(fault);
  }

  void Reset() {
    for (Tcp::socket* socket : {&client_, &server_}) {
      error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  struct Direction {
    explicit Direction(Io& io) : timer(io) {}
    std::array<char, 16384> bytes{};
    boost::asio::steady_timer timer;
  };

  bool IsStalled(bool to_server) const {
    return to_server ? fault_->stall_to_server : fault_->stall_to_client;
  }

  void Pump(bool to_server) {
    Direction& direction = to_server ? to_server_ : to_client_;
    (to_server ? client_ : server_)
        .async_read_some(boost::asio::buffer(direction.bytes),
                         [self = shared_from_this(), to_server](
                             const error_code& error, std::size_t size) {
                           if (error) {
                             self->RelayEof(to_server);
                           } else {
                             self->Relay(to_server, size, self->fault_->delay);
                           }
                         });
  }

  void Relay(bool to_server, std::size_t size, Duration delay) {
    Direction& direction = to_server ? to_server_ : to_client_;
    if (IsStalled(to_server) || delay > Duration(0)) {
      direction.timer.expires_after(
          IsStalled(to_server) ? kStallPollInterval
                               : std::chrono::milliseconds(delay.ms()));
      direction.timer.async_wait([self = shared_from_this(), to_server,
                                  size](const error_code& error) {
        if (!error) self->Relay(to_server, size, Duration(0));
      });
      return;
    }
    boost::asio::async_write(
        to_server ? server_ : client_,
        boost::asio::buffer(direction.bytes.data(), size),
        [self = shared_from_this(), to_server](const error_code& error,
                                               std::size_t /*size*/) {
          if (error) {
            self->Reset();
          } else {
            self->Pump(to_server);
          }
        });
  }

  // Relays the end of the stream; a stalled direction holds it back too.
  void RelayEof(bool to_server) {
    if (IsStalled(to_server)) {
      Direction& direction = to_server ? to_server_ : to_client_;
      direction.timer.expires_after(kStallPollInterval);
      direction.timer.async_wait(
          [self = shared_from_this(), to_server](const error_code& error) {
            if (!error) self->RelayEof(to_server);
          });
      return;
    }
    error_code ignored;
    (to_server ? server_ : client_)
        .shutdown(Tcp::socket::shutdown_send, ignored);
    if (one_side_closed_) Reset();
    one_side_closed_ = true;
  }

  Tcp::socket client_;
  Tcp::socket server_;
  Direction to_server_;
  Direction to_client_;
  std::shared_ptr<PathFault> fault_;
  bool one_side_closed_ = false;
};

}  // namespace

class FaultProxy::Path : public std::enable_shared_from_this<Path> {
 public:
  Path(Io& io, const std::string& listen, const std::string& target)
      : io_(io),
        acceptor_(io, ToEndpoint(listen)),
        target_(ToEndpoint(target)),
        fault_(std::make_shared<PathFault>()) {}

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& error,
                                                       Tcp::socket socket) {
      if (error) return;
      auto connection = std::make_shared<Connection>(
          self->io_, std::move(socket), self->fault_);
      self->DropClosed();
      self->connections_.push_back(connection);
      connection->Start(self->target_);
      self->Accept();
    });
  }

  void SetFault(const PathFault& fault) {
    DropClosed();
    if (fault.single_connection) {
      SetSingleFault(fault);
      return;
    }
    if (!fault.reset) {
      *fault_ = fault;
      return;
    }
    for (const auto& item : connections_) {
      const auto connection = item.lock();
      if (connection && random_.Chance(fault.reset_share)) connection->Reset();
    }
  }

  void Heal() {
    *fault_ = PathFault{};
    for (const auto& item : connections_) {
      if (const auto connection = item.lock()) connection->Detach(PathFault{});
    }
  }

 private:
  // A weak pointer keeps the memory of its connection.
  void DropClosed() {
    connections_.remove_if([](const auto& item) {
      const auto connection = item.lock();
      return connection == nullptr || !connection->is_open();
    });
  }

  void SetSingleFault(const PathFault& fault) {
    if (connections_.empty()) return;
    const auto connection = connections_.front().lock();
    connections_.splice(connections_.end(), connections_, connections_.begin());
    if (connection == nullptr) return;
    connection->Detach(fault);
    if (fault.reset) connection->Reset();
  }

  Io& io_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint target_;
  std::shared_ptr<PathFault> fault_;
  std::list<std::weak_ptr<Connection>> connections_;
  Random random_{1};
};

FaultProxy::FaultProxy() {
  thread_ = std::thread([this] {
    const auto work = boost::asio::make_work_guard(io_);
    io_.run();
  });
}

FaultProxy::~FaultProxy() {
  io_.stop();
  thread_.join();
}

void FaultProxy::Forward(const std::string& listen, const std::string& target) {
  const auto path = std::make_shared<Path>(io_, listen, target);
  paths_[listen] = path;
  boost::asio::post(io_, [path] { path->Accept(); });
}

void FaultProxy::SetFault(const std::string& listen, const PathFault& fault) {
  boost::asio::post(
      io_, [path = paths_.at(listen), fault] { path->SetFault(fault); });
}

void FaultProxy::HealAll() {
  for (const auto& [listen, path] : paths_) {
    boost::asio::post(io_, [path = path] { path->Heal(); });
  }
}

}  // namespace geranium::soak
