#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/json_depth.h"
#include "link/codec.h"
#include "platform/ingress.h"
#include "platform/operator_log.h"
#include "platform/worker_api.h"

namespace geranium {
namespace {

/// Levels of nesting that overflow the stack where reading recurses.
constexpr std::size_t kDeep = 400'000;

std::string NestedArrays(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

HttpRequest SubmissionWith(const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/desk/0000000000000001";
  request.body = body;
  return request;
}

HttpOutcome OutcomeWith(const std::string& body) {
  HttpOutcome outcome;
  outcome.response.status = 200;
  outcome.response.body = body;
  return outcome;
}

// Guards against input of a few hundred kilobytes that overflowed the stack.
TEST_CASE("Malformed submission nested deeply is rejected") {
  const std::string body =
      R"({"best-effort":true,"steps":)" + NestedArrays(kDeep) + "}";
  CHECK_FALSE(platform::ReadSubmission(SubmissionWith(body)).has_value());
}

TEST_CASE("Malformed worker reply nested deeply counts as malformed") {
  const std::string body =
      R"({"clock-ms":1,"born":1,"running":)" + NestedArrays(kDeep) + "}";
  CHECK(platform::ReadPollOutcome(OutcomeWith(body)).reply !=
        OrderReply::kAccepted);
}

TEST_CASE("Malformed operator record nested deeply is ignored") {
  const std::string value =
      R"({"version":1,"routes":)" + NestedArrays(kDeep) + "}";
  const OperatorRecord record =
      platform::ReadOperatorRecord(LogOffset(1), "config", value);
  CHECK(std::holds_alternative<IgnoredRecord>(record.content));
}

TEST_CASE("Malformed frame nested deeply is rejected") {
  const char one_element_array = '\x81';
  const std::string bytes = std::string(kDeep, one_element_array) + '\x00';
  CHECK_FALSE(DecodeFrame(bytes).has_value());
}

TEST_CASE("Malformed estimates and sizes out of range are rejected") {
  for (const std::string step :
       {R"({"count":1,"cpu":1,"estimated-ms":-5})",
        R"({"count":1,"cpu":1,"estimated-ms":9000000000000000000})",
        R"({"count":0,"cpu":1})", R"({"count":1,"cpu":-1})",
        R"({"count":1,"cpu":1,"depends-on":[0]})"}) {
    CAPTURE(step);
    const std::string body = R"({"best-effort":true,"steps":[)" + step + "]}";
    CHECK_FALSE(platform::ReadSubmission(SubmissionWith(body)).has_value());
  }
}

/// A valid text with some bytes replaced, removed or doubled.
std::string Mutate(std::string text) {
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
        break;
      default:
        text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 8)));
    }
  }
  return text;
}

TEST_CASE("Malformed input of every kind is read without an exception") {
  const std::string job =
      R"({"spec":"x","best-effort":true,"steps":[{"count":2,"cpu":7600,)"
      R"("mem-mb":64,"estimated-ms":60,"requirements":"a","data-rack":"r"}]})";
  const std::string poll =
      R"({"clock-ms":5,"born":7,"running":[["t.0.0.0",1,"",40]],)"
      R"("finished":[[1,"t.0.0.1",1,"completed"]]})";
  const std::string table =
      R"({"version":2,"routes":[{"name":"r","host":"h","path-prefix":"/",)"
      R"("service":"s","priority":1,"slack-factor":1.6}]})";
  const std::string frame =
      EncodeFrame({StartTask{}, WorkerReport{}, AttemptList{}, Members{{"a"}}});
  CHECK(rc::check("mutated inputs", [&] {
    (void)platform::ReadSubmission(SubmissionWith(Mutate(job)));
    (void)platform::ReadPollOutcome(OutcomeWith(Mutate(poll)));
    (void)platform::ReadOperatorRecord(LogOffset(1), "config", Mutate(table));
    (void)platform::ReadNewest("store", OutcomeWith(Mutate(poll)));
    (void)platform::ReadTail("store", LogOffset(1), OutcomeWith(Mutate(frame)));
    HttpRequest announcement = SubmissionWith(Mutate(poll));
    announcement.path = "/-/Instances.Heartbeat/i-0";
    (void)platform::ReadAnnouncement(announcement);
    (void)DecodeFrame(Mutate(frame));
  }));
}

}  // namespace
}  // namespace geranium
