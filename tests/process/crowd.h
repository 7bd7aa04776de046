#ifndef GERANIUM_TESTS_PROCESS_CROWD_H_
#define GERANIUM_TESTS_PROCESS_CROWD_H_

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace geranium::process {

/// Requests of one connection, complete as sent.
using Conversation = std::vector<std::string>;

/// A request with a body, or without one if it is empty.
std::string MakeRequest(const std::string& method, const std::string& target,
                        const std::string& body);

/// Sends the requests of each conversation on a connection of its own, all
/// connections at once and without waiting for responses, which are discarded.
/// Returns when all requests are answered or the server has closed the
/// connections.
void HoldConversations(const std::string& address,
                       const std::vector<Conversation>& conversations);

/// The same, each request on a connection that is closed after the time in
/// which an idle server reads it.
void SendAndLeave(const std::string& address,
                  const std::vector<Conversation>& conversations);

/// Watches the open descriptors of a process until it is destroyed.
class DescriptorWatch {
 public:
  explicit DescriptorWatch(pid_t pid);
  ~DescriptorWatch();
  DescriptorWatch(const DescriptorWatch&) = delete;
  DescriptorWatch& operator=(const DescriptorWatch&) = delete;

  /// The highest number seen.
  std::size_t highest() const { return highest_; }

 private:
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> highest_ = 0;
  std::thread thread_;
};

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_CROWD_H_
