#include "entry/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace geranium {
namespace {

/// A job of 200 ms with an objective of 380 ms.
class AdmissionTest {
 protected:
  AdmissionTest() {
    route_.slack_factor = 1.6;
    route_.target_latency = Duration(60);
    deadlines_ =
        admission_.DeadlinesOf(kCriticalPath, route_, kCallerTimeout, kNow);
  }

  static StepJobId Job(int number) {
    return StepJobId("job-" + std::to_string(number));
  }

  static constexpr TimePoint kNow{1000};
  static constexpr Duration kCriticalPath{200};
  static constexpr Duration kCallerTimeout{1500};
  Route route_;
  Admission admission_{AdmissionOptions{}};
  JobDeadlines deadlines_;
};

TEST_CASE_METHOD(AdmissionTest,
                 "Admission deadlines follow from objective and timeout") {
  CHECK(deadlines_.latest_start == kNow + Duration(90));
  CHECK(deadlines_.start_deadline == kNow + Duration(940));
  CHECK(deadlines_.answer_deadline == kNow + kCallerTimeout);
}

TEST_CASE_METHOD(AdmissionTest,
                 "Admission with a caller that waits briefly ends by then") {
  const JobDeadlines hurried =
      admission_.DeadlinesOf(kCriticalPath, route_, Duration(300), kNow);
  CHECK(hurried.start_deadline == kNow + Duration(100));
}

TEST_CASE_METHOD(
    AdmissionTest,
    "Admission of a job that can start in time ignores late jobs") {
  const Backlog backlog{Duration(90), Duration(60'000)};
  CHECK_FALSE(admission_.IsQueueTooLong(deadlines_, backlog, kNow));
}

TEST_CASE_METHOD(AdmissionTest,
                 "Admission of a job that will be late needs a short backlog") {
  const Duration limit(470);  // Half of the time until the start deadline.
  CHECK_FALSE(admission_.IsQueueTooLong(deadlines_,
                                        Backlog{Duration(91), limit}, kNow));
  CHECK(admission_.IsQueueTooLong(
      deadlines_, Backlog{Duration(91), limit + Duration(1)}, kNow));
}

// With one time for all, callers refused in a burst would return as a burst.
TEST_CASE_METHOD(AdmissionTest,
                 "Admission refusing a burst spreads the callers' return") {
  constexpr int kRefused = 1000;
  const Backlog backlog{Duration(3200), Duration(3200)};
  std::map<Duration, int> returns;
  for (int i = 0; i < kRefused; ++i) {
    ++returns[Admission::RetryAfter(Job(i), backlog)];
  }
  CHECK(returns.begin()->first >= backlog.total);
  CHECK(returns.rbegin()->first <= backlog.total * 3);
  for (const auto& [delay, callers] : returns) {
    CAPTURE(delay.ms());
    CHECK(delay.ms() % 1000 == 0);
    CHECK(callers < kRefused / 3);
  }
}

TEST_CASE_METHOD(AdmissionTest,
                 "Admission without a backlog has callers return soon") {
  for (int i = 0; i < 100; ++i) {
    const Duration delay = Admission::RetryAfter(Job(i), Backlog{});
    CHECK(delay >= Duration(1000));
    CHECK(delay <= Duration(2000));
  }
}

TEST_CASE_METHOD(AdmissionTest,
                 "Admission with a huge estimate keeps callers a few seconds") {
  const Backlog backlog{Duration(3'600'000), Duration(3'600'000)};
  for (int i = 0; i < 100; ++i) {
    CHECK(Admission::RetryAfter(Job(i), backlog) <= Duration(10'000));
  }
}

}  // namespace
}  // namespace geranium
