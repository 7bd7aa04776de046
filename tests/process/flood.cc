#include "process/flood.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <thread>
#include <utility>

namespace geranium::process {
namespace {

/// A server that reads nothing for this long has stopped reading.
constexpr int kStallMs = 3000;
/// Floods are sent in pieces of about this size.
constexpr std::size_t kPieceBytes = 65'536;

bool AwaitWritable(int socket) {
  pollfd wait{socket, POLLOUT, 0};
  return poll(&wait, 1, kStallMs) == 1 && (wait.revents & POLLOUT) != 0;
}

}  // namespace

FloodConnection::FloodConnection(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  (void)connect(socket_, reinterpret_cast<sockaddr*>(&peer), sizeof(peer));
}

FloodConnection::~FloodConnection() { close(socket_); }

bool FloodConnection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    if (!AwaitWritable(socket_)) return false;
    const ssize_t count =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN && errno != EINTR) return false;
    if (count > 0) sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::vector<Flood> EndlessRequests() {
  const std::string post =
      "POST /desk/00000000000000ee HTTP/1.1\r\nHost: callers.example\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = chunked + "2\r\n{}\r\n0\r\n";
  const std::string kilobyte(1000, 'x');
  return {{"body", post + "Content-Length: 24000000\r\n\r\n", kilobyte},
          {"trailers, long lines", last_chunk, "t: " + kilobyte + "\r\n"},
          {"trailers, short lines", last_chunk, "t: x\r\n"},
          {"trailers, one endless line", last_chunk + "t: ", kilobyte},
          {"endless chunk extension", chunked + "2;e=", kilobyte},
          {"many chunk extensions", chunked, "1;e=" + kilobyte + "\r\n{\r\n"},
          {"endless chunk size", chunked, std::string(1000, '0')},
          {"header fields", post, "h: " + kilobyte + "\r\n"},
          {"short header fields", post, "h:\r\n"},
          {"one endless header field", post + "h: ", kilobyte}};
}

std::vector<std::unique_ptr<FloodConnection>> SendFloods(
    const std::string& address, const Flood& flood, int count) {
  std::string piece;
  while (flood.bytes > 0 && piece.size() < kPieceBytes) piece += flood.unit;
  std::vector<std::unique_ptr<FloodConnection>> connections;
  std::vector<std::future<void>> senders;
  for (int i = 0; i < count; ++i) {
    FloodConnection* connection =
        connections.emplace_back(std::make_unique<FloodConnection>(address))
            .get();
    senders.push_back(std::async(std::launch::async, [&, connection] {
      if (!connection->Send(flood.head)) return;
      std::size_t sent = 0;
      while (sent < flood.bytes && connection->Send(piece)) {
        sent += piece.size();
      }
    }));
  }
  for (auto& sender : senders) sender.get();
  return connections;
}

void AwaitSteady(pid_t pid) {
  constexpr int kSteadyPolls = 5;
  constexpr int kMaxPolls = 100;
  int steady = 0;
  std::pair<std::size_t, std::size_t> last;
  for (int i = 0; i < kMaxPolls && steady < kSteadyPolls; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::pair now{PeakMemory(pid), CountDescriptors(pid)};
    steady = now == last ? steady + 1 : 0;
    last = now;
  }
}

std::size_t PeakMemory(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string key;
  std::size_t kilobytes = 0;
  while (status >> key) {
    if (key == "VmHWM:") status >> kilobytes;
  }
  return kilobytes * 1024;
}

std::size_t CountDescriptors(pid_t pid) {
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(pid) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace geranium::process
