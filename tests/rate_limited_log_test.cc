#include "runtime/rate_limited_log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace geranium {
namespace {

class RateLimitedLogTest {
 protected:
  RateLimitedLogTest()
      : log_([this](LogLevel /*level*/, const std::string& event,
                    const LogFields& fields) {
          ++written_[event];
          for (const auto& [key, value] : fields) {
            if (key == "left_out_before") suppressed_ += std::stoul(value);
          }
        }) {}

  void Write(const std::string& event, TimePoint now) {
    log_.Write({LogLevel::kInfo, event, {{"job", "1"}}}, now);
  }

  RateLimitedLog log_;
  std::map<std::string, std::size_t> written_;
  std::size_t suppressed_ = 0;
};

TEST_CASE_METHOD(RateLimitedLogTest,
                 "RateLimitedLog when one event exceeds its rate, suppresses "
                 "and counts the excess lines") {
  constexpr std::size_t kLines = 10'000;
  for (std::size_t i = 0; i < kLines; ++i) {
    Write("flood", TimePoint(1000 + static_cast<std::int64_t>(i) / 5));
  }
  // The lines above span two seconds.
  const auto max_lines = static_cast<std::size_t>(
      RateLimitedLog::kBurst + 2 * RateLimitedLog::kLinesPerSecond);
  CHECK(written_["flood"] <= max_lines);
  CHECK(written_["flood"] + 1 >= max_lines);
  Write("flood", TimePoint(60'000));
  CHECK(written_["flood"] + suppressed_ == kLines + 1);
}

TEST_CASE_METHOD(RateLimitedLogTest,
                 "RateLimitedLog when one event exceeds its rate, still writes "
                 "other events") {
  for (int i = 0; i < 10'000; ++i) Write("flood", TimePoint(1000));
  Write("worker_lost", TimePoint(1000));
  CHECK(written_["worker_lost"] == 1);
}

TEST_CASE("RateLimitedLog with a value of a caller's length cuts it") {
  std::size_t longest = 0;
  RateLimitedLog log([&](LogLevel /*level*/, const std::string& /*event*/,
                         const LogFields& fields) {
    for (const auto& [key, value] : fields) {
      longest = std::max(longest, value.size());
    }
  });
  log.Write({LogLevel::kInfo, "e", {{"path", std::string(100'000, 'x')}}},
            TimePoint(1000));
  CHECK(longest == RateLimitedLog::kMaxFieldBytes);
}

}  // namespace
}  // namespace geranium
