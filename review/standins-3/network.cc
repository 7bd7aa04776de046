#include "network.h"

#include <dirent.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {
namespace {

using boost::system::error_code;

/// A connection attempt across a cut fails after this long: the programs' own
/// limit on a connect.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
/// How often a held direction checks whether the cut has healed.
constexpr auto kHoldInterval = std::chrono::milliseconds(5);

Tcp::endpoint Local(unsigned short port) {
  return {asio::ip::address_v4::loopback(), port};
}

}  // namespace

std::string Origins::Find(unsigned short port, unsigned short peer_port) const {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::string inode;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned local = 0;
    unsigned remote = 0;
    unsigned state = 0;
    char rest[64] = "";
    unsigned long number = 0;
    const int read =
        std::sscanf(line.c_str(),
                    " %*d: %*8X:%4X %*8X:%4X %2X %*s %*s %*s %*d %*d %lu %60s",
                    &local, &remote, &state, &number, rest);
    if (read < 4 || local != port || remote != peer_port) continue;
    inode = "socket:[" + std::to_string(number) + "]";
    break;
  }
  if (inode.empty()) return "";
  for (const auto& [machine, pid] : pids_) {
    const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
    DIR* descriptors = opendir(folder.c_str());
    if (descriptors == nullptr) continue;
    bool found = false;
    while (const dirent* entry = readdir(descriptors)) {
      char target[64] = "";
      const std::string path = folder + "/" + entry->d_name;
      const ssize_t size = readlink(path.c_str(), target, sizeof target - 1);
      if (size > 0 && inode == std::string(target, static_cast<size_t>(size))) {
        found = true;
        break;
      }
    }
    closedir(descriptors);
    if (found) return machine;
  }
  return "";
}

class Forwarder::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, Tcp::socket client, const IsCut& is_cut,
             std::string from, std::string to)
      : is_cut_(is_cut),
        from_(std::move(from)),
        to_(std::move(to)),
        sides_{std::move(client), Tcp::socket(io)},
        timers_{asio::steady_timer(io), asio::steady_timer(io)} {}

  void Start(unsigned short target) {
    if (is_cut_(from_, to_)) {
      timers_[0].expires_after(kConnectTimeout);
      timers_[0].async_wait(
          [self = shared_from_this()](const error_code&) { self->Reset(0); });
      return;
    }
    sides_[1].async_connect(
        Local(target), [self = shared_from_this()](const error_code& error) {
          if (error) return self->Reset(0);
          for (Tcp::socket& side : self->sides_) {
            error_code ignored;
            side.set_option(Tcp::no_delay(true), ignored);
          }
          self->Pump(0);
          self->Pump(1);
        });
  }

 private:
  bool IsHeld() const { return is_cut_(from_, to_); }

  void Reset(int side) {
    error_code ignored;
    sides_[side].set_option(asio::socket_base::linger(true, 0), ignored);
    sides_[side].close(ignored);
  }

  void Pump(int side) {
    sides_[side].async_read_some(
        asio::buffer(bytes_[side]),
        [self = shared_from_this(), side](const error_code& error,
                                          std::size_t size) {
          if (error) {
            self->End(side, error == asio::error::eof);
          } else {
            self->Relay(side, size);
          }
        });
  }

  void Relay(int side, std::size_t size) {
    if (IsHeld()) {
      Hold(side,
           [size](Connection& self, int from) { self.Relay(from, size); });
      return;
    }
    // The other side has reset the channel behind a cut: it answers with a
    // reset now.
    if (gone_[1 - side]) return Reset(side);
    asio::async_write(sides_[1 - side], asio::buffer(bytes_[side].data(), size),
                      [self = shared_from_this(), side](const error_code& error,
                                                        std::size_t /*size*/) {
                        if (error) {
                          self->Reset(side);
                        } else {
                          self->Pump(side);
                        }
                      });
  }

  void End(int side, bool is_eof) {
    const bool held = IsHeld();
    if (held && is_eof) {
      Hold(side, [](Connection& self, int from) { self.End(from, true); });
      return;
    }
    gone_[side] = true;
    error_code ignored;
    if (is_eof) {
      sides_[1 - side].shutdown(Tcp::socket::shutdown_send, ignored);
      if (gone_[1 - side]) {
        Reset(0);
        Reset(1);
      }
    } else {
      sides_[side].close(ignored);
      if (!held) Reset(1 - side);
    }
  }

  template <class Then>
  void Hold(int side, Then then) {
    timers_[side].expires_after(kHoldInterval);
    timers_[side].async_wait(
        [self = shared_from_this(), side, then](const error_code& error) {
          if (error) return;
          // Bytes that a cut holds up are lost if their sender resets.
          if (self->HasReset(side)) return self->End(side, false);
          then(*self, side);
        });
  }

  bool HasReset(int side) {
    error_code error;
    char byte = 0;
    sides_[side].non_blocking(true, error);
    sides_[side].receive(asio::buffer(&byte, 1),
                         asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block &&
           error != asio::error::try_again && error != asio::error::eof;
  }

  const IsCut& is_cut_;
  std::string from_;
  std::string to_;
  std::array<Tcp::socket, 2> sides_;
  std::array<asio::steady_timer, 2> timers_;
  std::array<std::array<char, 65536>, 2> bytes_{};
  std::array<bool, 2> gone_{};
};

Forwarder::Forwarder(asio::io_context& io, const Origins& origins,
                     const IsCut& is_cut, std::string machine,
                     unsigned short listen, unsigned short target)
    : io_(io),
      origins_(origins),
      is_cut_(is_cut),
      machine_(std::move(machine)),
      listen_(listen),
      target_(target),
      acceptor_(io, Local(listen)) {}

void Forwarder::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const error_code& error,
                                                     Tcp::socket socket) {
    if (error) return;
    error_code failed;
    const auto peer = socket.remote_endpoint(failed);
    if (!failed) {
      std::string from = self->origins_.Find(peer.port(), self->listen_);
      std::make_shared<Connection>(self->io_, std::move(socket), self->is_cut_,
                                   std::move(from), self->machine_)
          ->Start(self->target_);
    }
    self->Accept();
  });
}

}  // namespace review
