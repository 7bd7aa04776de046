#include "worker/backend_monitor.h"

#include <catch2/catch.hpp>

namespace geranium {
namespace {

class BackendMonitorTest {
 protected:
  AttemptId StartCall() {
    const AttemptId id{Incarnation(1), ++number_};
    monitor_.CallStarted(id, service_, timeout_, now_);
    return id;
  }

  void RunAnsweredCalls(int calls) {
    for (int i = 0; i < calls; ++i) {
      const AttemptId id = StartCall();
      now_ = now_ + Duration(20);
      monitor_.CallEnded(id, CallEnd::kAnswered, now_);
    }
  }

  const ServiceName service_{"lookup"};
  const Duration timeout_{3000};
  BackendMonitor monitor_;
  TimePoint now_{1000};
  std::uint64_t number_ = 0;
};

TEST_CASE_METHOD(BackendMonitorTest,
                 "BackendMonitor after few answers, a late aborted call makes "
                 "the backend unresponsive") {
  RunAnsweredCalls(10);
  const AttemptId late = StartCall();
  now_ = now_ + Duration(70);
  monitor_.CallEnded(late, CallEnd::kAborted, now_);
  now_ = now_ + timeout_;
  CHECK(monitor_.CheckOverdueCalls(now_));
  CHECK(monitor_.health() == BackendHealth::kUnresponsive);
}

TEST_CASE_METHOD(
    BackendMonitorTest,
    "BackendMonitor after many answers, a call aborted early is not overdue") {
  RunAnsweredCalls(30);
  const AttemptId early = StartCall();
  now_ = now_ + Duration(5);
  monitor_.CallEnded(early, CallEnd::kAborted, now_);
  now_ = now_ + timeout_;
  CHECK_FALSE(monitor_.CheckOverdueCalls(now_));
}

}  // namespace
}  // namespace geranium
