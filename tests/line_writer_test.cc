#include "runtime/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <sstream>
#include <string>

namespace geranium {
namespace {

class LineWriterTest {
 protected:
  LineWriterTest() {
    // As all programs do; the writer may still write after the reader closed.
    std::signal(SIGPIPE, SIG_IGN);
    REQUIRE(::pipe(pipe_) == 0);
    REQUIRE(::fcntl(pipe_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~LineWriterTest() {
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }

  int write_end() const { return pipe_[1]; }

  /// Reads until `last` was read or nothing has arrived for 5 s.
  std::string ReadUntil(const std::string& last) const {
    std::string text;
    char bytes[4096];
    pollfd wait{pipe_[0], POLLIN, 0};
    while (text.find(last) == std::string::npos && ::poll(&wait, 1, 5000) > 0) {
      const ssize_t count = ::read(pipe_[0], bytes, sizeof(bytes));
      if (count > 0) text.append(bytes, static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  int pipe_[2] = {-1, -1};
};

TEST_CASE_METHOD(LineWriterTest,
                 "LineWriter with a reader writes the lines in order") {
  LineWriter writer(write_end());
  for (int i = 0; i < 100; ++i) {
    writer.Write("line " + std::to_string(i) + "\n");
  }
  const std::string text = ReadUntil("line 99\n");
  CHECK(text.find("line 0\nline 1\nline 2\n") == 0);
  CHECK(text.find("line 98\nline 99\n") != std::string::npos);
}

TEST_CASE_METHOD(LineWriterTest,
                 "LineWriter with a stalled reader does not block and later "
                 "writes how many lines were dropped") {
  constexpr int kLines = 20'000;
  LineWriter writer(write_end());
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) writer.Write(std::string(99, 'x') + "\n");
  const auto elapsed = std::chrono::steady_clock::now() - start;
  // A blocking write of 2 MB into a pipe that nobody reads never returns.
  CHECK(elapsed < std::chrono::seconds(5));
  std::string text = ReadUntil("no such text");
  writer.Write("after\n");
  text += ReadUntil("after\n");
  int written = 0;
  int dropped = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::string prefix = "event=log_lines_dropped count=";
    if (line.rfind(prefix, 0) == 0)
      dropped += std::stoi(line.substr(prefix.size()));
    written += line.front() == 'x' ? 1 : 0;
  }
  CHECK(dropped > 0);
  CHECK(written + dropped == kLines);
}

TEST_CASE_METHOD(
    LineWriterTest,
    "LineWriter destroyed while its reader is stalled returns within 5 s") {
  const auto start = std::chrono::steady_clock::now();
  {
    LineWriter writer(write_end());
    for (int i = 0; i < 2000; ++i) writer.Write(std::string(99, 'x') + "\n");
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
}

}  // namespace
}  // namespace geranium
