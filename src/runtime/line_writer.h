#ifndef GERANIUM_RUNTIME_LINE_WRITER_H_
#define GERANIUM_RUNTIME_LINE_WRITER_H_

#include <cstddef>
#include <memory>
#include <string>

namespace geranium {

/// Writes lines to a descriptor from a thread of its own. `Write` never waits
/// for the reader: what does not fit into the buffer is dropped and counted in
/// a line of its own once there is room again.
class LineWriter {
 public:
  /// Some seconds of log lines at their highest rate.
  static constexpr std::size_t kBufferBytes = std::size_t{256} * 1024;

  explicit LineWriter(int descriptor, std::size_t buffer_bytes = kBufferBytes);
  /// Waits a moment for what is buffered to be written.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// `line` ends with a line feed.
  void Write(const std::string& line);

 private:
  struct State;

  static void Run(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_LINE_WRITER_H_
