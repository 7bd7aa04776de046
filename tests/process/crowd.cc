#include "process/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <future>

#include "process/flood.h"

namespace geranium::process {
namespace {

/// A server that neither reads nor answers for this long is given up.
constexpr int kStallMs = 20'000;
constexpr std::size_t kReadBytes = 65'536;
/// Of a caller that leaves.
constexpr std::chrono::milliseconds kStay{10};
/// The beginning of each response.
constexpr char kStatusLine[] = "HTTP/1.1 ";

int Connect(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  const int connection =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  (void)connect(connection, reinterpret_cast<sockaddr*>(&peer), sizeof(peer));
  return connection;
}

// Counts the responses in what has been read, and keeps the end of it that may
// begin another one.
std::size_t TakeResponses(std::string& input) {
  const std::string start = kStatusLine;
  std::size_t count = 0;
  std::size_t position = 0;
  while ((position = input.find(start, position)) != std::string::npos) {
    ++count;
    position += start.size();
  }
  input.erase(0, input.size() - std::min(input.size(), start.size() - 1));
  return count;
}

// Sends while the server takes input, and reads all that it answers.
void HoldConversation(const std::string& address,
                      const Conversation& requests) {
  const int connection = Connect(address);
  std::size_t next = 0;
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::string input;
  std::string chunk(kReadBytes, '\0');
  while (answered < requests.size()) {
    const bool has_more = next < requests.size();
    pollfd wait{connection,
                static_cast<short>(has_more ? POLLIN | POLLOUT : POLLIN), 0};
    if (poll(&wait, 1, kStallMs) != 1) break;
    if ((wait.revents & POLLIN) != 0) {
      const ssize_t count = recv(connection, chunk.data(), chunk.size(), 0);
      if (count == 0 || (count < 0 && errno != EAGAIN)) break;
      if (count > 0) input.append(chunk, 0, static_cast<std::size_t>(count));
      answered += TakeResponses(input);
    } else if ((wait.revents & (POLLERR | POLLHUP)) != 0) {
      break;
    }
    if (!has_more || (wait.revents & POLLOUT) == 0) continue;
    const std::string& request = requests[next];
    const ssize_t count = send(connection, request.data() + sent,
                               request.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN) break;
    if (count > 0) sent += static_cast<std::size_t>(count);
    if (sent < request.size()) continue;
    ++next;
    sent = 0;
  }
  close(connection);
}

template <class Hold>
void ForEachAtOnce(const std::vector<Conversation>& conversations, Hold hold) {
  std::vector<std::future<void>> clients;
  for (const Conversation& requests : conversations) {
    clients.push_back(std::async(std::launch::async, [&] { hold(requests); }));
  }
  for (auto& client : clients) client.get();
}

}  // namespace

std::string MakeRequest(const std::string& method, const std::string& target,
                        const std::string& body) {
  std::string request =
      method + " " + target + " HTTP/1.1\r\nHost: callers.example\r\n";
  if (!body.empty()) {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return request + "\r\n" + body;
}

void HoldConversations(const std::string& address,
                       const std::vector<Conversation>& conversations) {
  ForEachAtOnce(conversations, [&](const Conversation& requests) {
    HoldConversation(address, requests);
  });
}

void SendAndLeave(const std::string& address,
                  const std::vector<Conversation>& conversations) {
  ForEachAtOnce(conversations, [&](const Conversation& requests) {
    for (const std::string& request : requests) {
      FloodConnection connection(address);
      (void)connection.Send(request);
      std::this_thread::sleep_for(kStay);
    }
  });
}

DescriptorWatch::DescriptorWatch(pid_t pid)
    : thread_([this, pid] {
        while (!stopping_) {
          highest_ = std::max(highest_.load(), CountDescriptors(pid));
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
      }) {}

DescriptorWatch::~DescriptorWatch() {
  stopping_ = true;
  thread_.join();
}

}  // namespace geranium::process
