#ifndef GERANIUM_TESTS_PROCESS_FLOOD_H_
#define GERANIUM_TESTS_PROCESS_FLOOD_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace geranium::process {

/// A TCP connection of a client that keeps to no protocol. A connection that
/// the server closed or refused makes `Send` return false.
class FloodConnection {
 public:
  explicit FloodConnection(const std::string& address);
  ~FloodConnection();
  FloodConnection(const FloodConnection&) = delete;
  FloodConnection& operator=(const FloodConnection&) = delete;

  /// Sends all of `bytes`; gives up when the server stops reading.
  bool Send(const std::string& bytes);

 private:
  int socket_ = -1;
};

/// What a connection sends: `head` once, then `unit` until `bytes` are sent.
struct Flood {
  std::string name;
  std::string head;
  std::string unit;
  std::size_t bytes = 24'000'000;
};

/// Requests without end: trailers, chunk extensions and header fields.
std::vector<Flood> EndlessRequests();

/// Sends `flood` on `count` connections at once; they stay open afterwards.
std::vector<std::unique_ptr<FloodConnection>> SendFloods(
    const std::string& address, const Flood& flood, int count);

/// Waits until a process has worked off what it was sent: until its peak memory
/// and its descriptors stay the same for a while.
void AwaitSteady(pid_t pid);
/// The highest resident memory of a process so far, in bytes.
std::size_t PeakMemory(pid_t pid);
std::size_t CountDescriptors(pid_t pid);

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_FLOOD_H_
