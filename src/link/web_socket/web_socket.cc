#include "link/web_socket/web_socket.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace geranium {
namespace {

// A host that is down does not refuse connections; the short time-out lets
// the dialler retry soon.
struct ClientConfig : websocketpp::config::asio_client {
  struct transport_config  // NOLINT(readability-identifier-naming)
      : websocketpp::config::asio_client::transport_config {
    static const long timeout_connect = 300;  // NOLINT; in milliseconds
  };
  using transport_type =  // NOLINT(readability-identifier-naming)
      websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<ClientConfig>;
using Tcp = boost::asio::ip::tcp;
using websocketpp::connection_hdl;

constexpr long kOpenTimeoutMs = 2000;
constexpr auto kBinary = websocketpp::frame::opcode::binary;

/// Limits for accepted connections until their first valid frame, since anybody
/// may connect. A first frame lists at most the attempts or jobs that a process
/// holds. After a restart of an entry, about 90 peers connect to it at once.
constexpr std::size_t kMaxFirstMessageBytes = 262'144;
constexpr std::size_t kMaxUnidentified = 128;
constexpr std::size_t kMaxHttpBodyBytes = 1024;

// At most a quarter of the process's descriptors.
std::size_t MaxUnidentified() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxUnidentified;
  return std::min<std::size_t>(kMaxUnidentified, limit.rlim_cur / 4);
}

bool ParseAddress(const std::string& address, Tcp::endpoint& endpoint) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  const int port = std::atoi(address.c_str() + colon + 1);
  if (error || port <= 0 || port > 65535) return false;
  endpoint = Tcp::endpoint(ip, static_cast<unsigned short>(port));
  return true;
}

}  // namespace

class WebSocketNode::Impl {
 public:
  Impl(boost::asio::io_context& io, Handlers handlers)
      : handlers_(std::move(handlers)) {
    InitEndpoint(server_, io);
    InitEndpoint(client_, io);
    server_.set_reuse_addr(true);
    server_.set_max_message_size(kMaxFirstMessageBytes);
    server_.set_max_http_body_size(kMaxHttpBodyBytes);
    server_.set_fail_handler(
        [this](connection_hdl handle) { RemoveUnidentified(handle); });
    client_.set_open_handshake_timeout(kOpenTimeoutMs);
    client_.set_max_message_size(kMaxMessageBytes);
  }

  std::string Listen(const std::string& address) {
    Tcp::endpoint endpoint;
    if (!ParseAddress(address, endpoint)) {
      return "invalid address, expected ip:port: " + address;
    }
    websocketpp::lib::error_code error;
    server_.listen(endpoint, error);
    if (error) return error.message();
    server_.start_accept(error);
    return error ? error.message() : "";
  }

  void Dial(const std::string& address) {
    websocketpp::lib::error_code error;
    auto connection = client_.get_connection("ws://" + address + "/", error);
    if (error) {
      handlers_.on_dial_failed(address, error.message());
      return;
    }
    connection->set_fail_handler([this, address](connection_hdl handle) {
      const auto failed = client_.get_con_from_hdl(handle);
      handlers_.on_dial_failed(address, failed->get_ec().message());
    });
    connection->set_open_handler([this, address](connection_hdl handle) {
      AddConnection(client_.get_con_from_hdl(handle), address);
    });
    client_.connect(connection);
  }

  bool Send(ConnectionId id, const std::string& bytes) {
    const auto found = connections_.find(id);
    return found == connections_.end() || found->second.send(bytes);
  }

  void SetIdentified(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) found->second.set_identified();
  }

  void Close(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) found->second.close();
  }

  void Reset(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    const auto reset = found->second.reset;
    connections_.erase(found);
    reset();
    handlers_.on_close(id);
  }

  std::uint64_t evicted_connections() const { return evicted_; }

  void Stop() {
    websocketpp::lib::error_code ignored;
    if (server_.is_listening()) server_.stop_listening(ignored);
    const auto connections = connections_;
    for (const auto& [id, connection] : connections) connection.close();
  }

 private:
  struct Connection {
    std::function<bool(const std::string&)> send;
    std::function<void()> set_identified;
    std::function<void()> close;
    std::function<void()> reset;
  };

  template <class Endpoint>
  void InitEndpoint(Endpoint& endpoint, boost::asio::io_context& io) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_tcp_post_init_handler(
        [this, &endpoint](connection_hdl handle) {
          OnSocketOpen(endpoint, handle);
        });
    if constexpr (std::is_same_v<Endpoint, Server>) {
      endpoint.set_open_handler([this, &endpoint](connection_hdl handle) {
        AddConnection(endpoint.get_con_from_hdl(handle), "");
      });
    }
  }

  template <class Endpoint>
  void OnSocketOpen(Endpoint& endpoint, const connection_hdl& handle) {
    // Frames are small and each is waited for, so none may be delayed (Nagle).
    boost::system::error_code ignored;
    endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(
        Tcp::no_delay(true), ignored);
    if constexpr (std::is_same_v<Endpoint, Server>) AddUnidentified(handle);
  }

  // Closes the oldest ones above the bound; their handlers run later.
  void AddUnidentified(const connection_hdl& handle) {
    unidentified_.push_back(handle);
    while (unidentified_.size() > MaxUnidentified()) {
      websocketpp::lib::error_code error;
      const auto oldest =
          server_.get_con_from_hdl(unidentified_.front(), error);
      unidentified_.pop_front();
      ++evicted_;
      boost::system::error_code ignored;
      if (oldest) oldest->get_raw_socket().close(ignored);
    }
  }

  void RemoveUnidentified(const connection_hdl& handle) {
    unidentified_.remove_if([&](const connection_hdl& other) {
      return !other.owner_before(handle) && !handle.owner_before(other);
    });
  }

  template <class ConnectionPtr>
  void AddConnection(ConnectionPtr connection, const std::string& dialled) {
    const ConnectionId id = next_id_++;
    Connection& added = connections_[id];
    added.send = [connection](const std::string& bytes) {
      const std::size_t unsent = connection->get_buffered_amount();
      if (unsent > 0 && unsent + bytes.size() > kMaxUnsentBytes) return false;
      // A failed send is reported as a closed connection.
      (void)connection->send(bytes, kBinary);
      return true;
    };
    added.set_identified = [this, connection] {
      connection->set_max_message_size(kMaxMessageBytes);
      RemoveUnidentified(connection->get_handle());
    };
    added.close = [connection] {
      websocketpp::lib::error_code ignored;
      connection->close(websocketpp::close::status::going_away, "", ignored);
    };
    added.reset = [connection] {
      // Discards unsent bytes: they must not arrive later on a recovered path.
      boost::system::error_code ignored;
      auto& socket = connection->get_raw_socket();
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    };
    using MessagePtr = typename ConnectionPtr::element_type::message_ptr;
    connection->set_message_handler(
        [this, id](connection_hdl /*handle*/, const MessagePtr& message) {
          if (connections_.count(id) == 0) return;
          handlers_.on_message(id, message->get_payload());
        });
    connection->set_close_handler([this, id](connection_hdl handle) {
      RemoveUnidentified(handle);
      if (connections_.erase(id) > 0) handlers_.on_close(id);
    });
    handlers_.on_open(id, dialled);
  }

  Handlers handlers_;
  Server server_;
  Client client_;
  ConnectionId next_id_ = 1;
  std::map<ConnectionId, Connection> connections_;
  /// Accepted connections without a valid frame, the oldest first.
  std::list<connection_hdl> unidentified_;
  std::atomic<std::uint64_t> evicted_ = 0;
};

WebSocketNode::WebSocketNode(boost::asio::io_context& io, Handlers handlers)
    : impl_(std::make_unique<Impl>(io, std::move(handlers))) {}

WebSocketNode::~WebSocketNode() = default;

std::string WebSocketNode::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void WebSocketNode::Dial(const std::string& address) { impl_->Dial(address); }

bool WebSocketNode::Send(ConnectionId id, const std::string& bytes) {
  return impl_->Send(id, bytes);
}

void WebSocketNode::SetIdentified(ConnectionId id) { impl_->SetIdentified(id); }

void WebSocketNode::Close(ConnectionId id) { impl_->Close(id); }

void WebSocketNode::Reset(ConnectionId id) { impl_->Reset(id); }

std::uint64_t WebSocketNode::evicted_connections() const {
  return impl_->evicted_connections();
}

void WebSocketNode::Stop() { impl_->Stop(); }

}  // namespace geranium
