#include "timeline/log_lines.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace geranium {
namespace {

class LogLinesTest {
 protected:
  static std::vector<std::string> KindsOf(
      const std::vector<TimelineEvent>& events) {
    std::vector<std::string> kinds;
    for (const TimelineEvent& event : events) kinds.push_back(event.kind);
    return kinds;
  }

  static std::string MakeLine(const std::string& second,
                              const std::string& process,
                              const std::string& rest) {
    return "time=2026-10-02T11:07:" + second +
           "Z level=INFO program=x instance=" + process + " " + rest + "\n";
  }
};

TEST_CASE_METHOD(LogLinesTest,
                 "LogLines a line with quoted values is parsed completely") {
  const auto event = ReadLogLine(
      "  1.5 host time=2026-10-02T11:07:58.254Z level=INFO "
      "program=geranium-agent instance=side-1 event=run_not_done "
      "task=00ff.0.1.7 run=2 reason=\"the \\\"run\\\" failed\" percent=40");
  REQUIRE(event);
  CHECK(event->process == "side-1");
  CHECK(event->kind == "run_not_done");
  CHECK(event->job == "00ff");
  CHECK(event->attempt == "00ff.0.1.7");
  CHECK(event->detail == "run=2 reason=the \"run\" failed percent=40");
}

TEST_CASE_METHOD(LogLinesTest, "LogLines lines in other formats are ignored") {
  CHECK(!ReadLogLine(""));
  CHECK(!ReadLogLine("hello world"));
  CHECK(!ReadLogLine("time=yesterday instance=a event=b"));
  CHECK(!ReadLogLine("time=2026-10-02T11:07:58.254Z event=b"));
}

TEST_CASE_METHOD(LogLinesTest,
                 "LogLines with agents' clocks behind and ahead, runs are "
                 "placed after their order and before the answer") {
  std::istringstream entry(
      MakeLine("10.100", "entry", "event=job_admitted job=a1") +
      MakeLine("10.101", "entry", "event=job_placed job=a1 workers=w:1") +
      MakeLine("10.102", "entry", "event=job_placed job=b2 workers=w:1") +
      MakeLine("10.300", "entry", "event=job_completed job=a1"));
  std::istringstream behind(
      MakeLine("02.200", "agent-1", "event=run_done task=a1.0.0.0 run=1"));
  std::istringstream ahead(
      MakeLine("30.200", "agent-2", "event=run_done task=a1.0.0.1 run=1"));
  const auto events = TraceJob({&entry, &behind, &ahead}, "a1");
  CHECK(KindsOf(events) ==
        std::vector<std::string>{"job_admitted", "job_placed", "run_done",
                                 "run_done", "job_completed"});
}

TEST_CASE_METHOD(LogLinesTest,
                 "LogLines with a task placed again in the millisecond of its "
                 "return, the return comes first") {
  std::istringstream entry(
      MakeLine("10.100", "entry", "event=job_admitted job=a1") +
      MakeLine("10.100", "entry", "event=job_placed job=a1 workers=v:1") +
      MakeLine("10.140", "entry", "event=attempt_returned job=a1 run=1") +
      MakeLine("10.140", "entry", "event=job_placed job=a1 workers=w:1"));
  std::istringstream agent(
      MakeLine("10.140", "agent-1", "event=run_not_done task=a1.0.0.0 run=1"));
  const auto events = TraceJob({&entry, &agent}, "a1");
  CHECK(KindsOf(events) ==
        std::vector<std::string>{"job_admitted", "job_placed", "run_not_done",
                                 "attempt_returned", "job_placed"});
}

}  // namespace
}  // namespace geranium
