#ifndef GERANIUM_RUNTIME_LINE_WRITER_H_
#define GERANIUM_RUNTIME_LINE_WRITER_H_

#include <cstddef>
#include <memory>
#include <string>

namespace geranium {

/// Writes lines to a file descriptor on a separate thread. `Write` never blocks
/// on the reader: lines that do not fit into the buffer are dropped, and a line
/// with their count is written once there is space again.
class LineWriter {
 public:
  /// Several seconds of log lines at their maximum rate.
  static constexpr std::size_t kBufferBytes = std::size_t{256} * 1024;

  explicit LineWriter(int descriptor, std::size_t buffer_bytes = kBufferBytes);
  /// Waits up to 200 ms for buffered lines to be written.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// `line` has to end with a line feed.
  void Write(const std::string& line);

 private:
  struct State;

  static void Run(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_LINE_WRITER_H_
