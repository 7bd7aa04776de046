#include "runtime/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <utility>

namespace geranium {
namespace {

/// How long the destructor waits for a slow reader to take buffered lines.
constexpr std::chrono::milliseconds kFlushTimeout(200);
/// Lines of this interval are written together: waking the thread for each line
/// costs more than formatting it.
constexpr std::chrono::milliseconds kBatchInterval(50);

// Returns false on a permanent write error.
bool WriteAll(int descriptor, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::write(descriptor, bytes.data() + written, bytes.size() - written);
    if (count >= 0) {
      written += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN) {
      pollfd wait{descriptor, POLLOUT, 0};
      (void)::poll(&wait, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Shared with the thread, which outlives the writer if the reader is blocked.
struct LineWriter::State {
  int descriptor = -1;
  std::size_t max_buffer_bytes = 0;
  std::mutex mutex;
  std::condition_variable condition;
  std::string buffer;
  std::uint64_t dropped_lines = 0;
  bool writing = false;
  bool stopping = false;
  bool failed = false;
};

LineWriter::LineWriter(int descriptor, std::size_t buffer_bytes)
    : state_(std::make_shared<State>()) {
  state_->descriptor = descriptor;
  state_->max_buffer_bytes = buffer_bytes;
  std::thread([state = state_] { Run(state); }).detach();
}

LineWriter::~LineWriter() {
  std::unique_lock lock(state_->mutex);
  state_->stopping = true;
  state_->condition.notify_all();
  (void)state_->condition.wait_for(lock, kFlushTimeout, [this] {
    return state_->failed || (state_->buffer.empty() && !state_->writing);
  });
}

void LineWriter::Write(const std::string& line) {
  const std::lock_guard lock(state_->mutex);
  if (state_->failed) return;
  if (state_->buffer.size() + line.size() > state_->max_buffer_bytes) {
    ++state_->dropped_lines;
    return;
  }
  const bool was_empty = state_->buffer.empty();
  if (state_->dropped_lines > 0) {
    state_->buffer += "event=log_lines_dropped count=" +
                      std::to_string(std::exchange(state_->dropped_lines, 0)) +
                      "\n";
  }
  state_->buffer += line;
  if (was_empty) state_->condition.notify_all();
}

void LineWriter::Run(const std::shared_ptr<State>& state) {
  std::unique_lock lock(state->mutex);
  while (true) {
    state->condition.wait(
        lock, [&] { return state->stopping || !state->buffer.empty(); });
    if (state->buffer.empty()) return;
    state->condition.wait_for(lock, kBatchInterval,
                              [&] { return state->stopping; });
    const std::string bytes = std::exchange(state->buffer, {});
    state->writing = true;
    lock.unlock();
    const bool written = WriteAll(state->descriptor, bytes);
    lock.lock();
    state->writing = false;
    state->failed = !written;
    state->condition.notify_all();
    if (!written) return;
  }
}

}  // namespace geranium
