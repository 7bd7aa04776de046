#include "link/codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace geranium {
namespace {

constexpr std::size_t kPayloadBytes = 4000;

class CodecTest {
 protected:
  static StartTask Order(std::uint64_t number, const SharedText& payload) {
    StartTask order;
    order.attempt = AttemptId{Incarnation(1), number};
    order.payload = payload;
    return order;
  }

  static Frame Decoded(const std::string& bytes) {
    const auto frame = DecodeFrame(bytes);
    REQUIRE(frame.has_value());
    return frame.value();
  }

  const SharedText first_{std::string(kPayloadBytes, 'a')};
  const SharedText second_{std::string(kPayloadBytes, 'b')};
};

TEST_CASE_METHOD(CodecTest,
                 "Codec with orders of two jobs writes each payload once and "
                 "reads copies of it") {
  Frame frame;
  for (std::uint64_t i = 0; i < 100; ++i) {
    frame.push_back(Order(i, i < 50 ? first_ : second_));
  }
  const std::string bytes = EncodeFrame(frame);
  CHECK(bytes.size() < 5 * kPayloadBytes);
  const Frame read = Decoded(bytes);
  REQUIRE(read.size() == frame.size());
  for (std::size_t i = 0; i < read.size(); ++i) {
    const auto& order = std::get<StartTask>(read[i]);
    CHECK(order.attempt.number == i);
    CHECK(order.payload == (i < 50 ? first_ : second_));
  }
  CHECK(std::get<StartTask>(read[0]).payload.IsCopyOf(
      std::get<StartTask>(read[49]).payload));
}

TEST_CASE_METHOD(CodecTest, "Codec with an order without payload reads none") {
  const Frame read = Decoded(EncodeFrame({Order(1, SharedText())}));
  REQUIRE(read.size() == 1);
  CHECK(std::get<StartTask>(read[0]).payload.empty());
}

TEST_CASE_METHOD(CodecTest,
                 "Codec with more messages than fit in a frame writes several, "
                 "each readable by itself") {
  constexpr std::size_t kMaxBytes = 10'000;
  Frame frame;
  for (std::uint64_t i = 0; i < 1000; ++i) frame.push_back(Order(i, first_));
  const std::vector<std::string> frames = EncodeFrames(frame, kMaxBytes);
  CHECK(frames.size() > 1);
  std::uint64_t next = 0;
  for (const std::string& bytes : frames) {
    CHECK(bytes.size() < 2 * kMaxBytes);
    for (const Message& message : Decoded(bytes)) {
      CHECK(std::get<StartTask>(message).attempt.number == next++);
      CHECK(std::get<StartTask>(message).payload == first_);
    }
  }
  CHECK(next == frame.size());
}

TEST_CASE_METHOD(CodecTest,
                 "Codec with a payload that the frame does not hold reports "
                 "an error") {
  std::string bytes = EncodeFrame({Order(1, first_)});
  // The array of the frame has one item less, and its first one is gone.
  const std::string order =
      bytes.substr(bytes.find(first_.value()) + first_.size());
  CHECK_FALSE(DecodeFrame("\x81" + order).has_value());
}

}  // namespace
}  // namespace geranium
