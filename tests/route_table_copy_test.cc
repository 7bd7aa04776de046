#include "platform/route_table_copy.h"

#include <catch2/catch.hpp>

namespace geranium::platform {
namespace {

using Kind = RouteTableCopyRequest::Kind;

HttpOutcome MakeOutcome(int status, const std::string& body) {
  HttpOutcome outcome;
  outcome.response.status = status;
  outcome.response.body = body;
  return outcome;
}

// Guards against records that the store rejects or stores under another key.
TEST_CASE("Copy of the route table is appended as one record of its key") {
  const HttpCall write =
      RouteTableCopyCall("store", {Kind::kWrite, 2, std::string(300, 'v')});
  CHECK(write.method == "POST");
  CHECK(write.target == "/-/log-append?topic=keyed.routes&part=2");
  const std::string prefix("\x00\x00\x01\x32\x05table", 10);  // 1 + 5 + 300.
  CHECK(write.body == prefix + std::string(300, 'v'));
  const HttpCall read = RouteTableCopyCall("store", {Kind::kRead, 1, ""});
  CHECK(read.method == "GET");
  CHECK(read.target == "/-/log-newest?topic=keyed.routes&part=1");
}

// Guards against a second append of a copy that was stored.
TEST_CASE("Copy of the route table counts as unwritten only if it is known") {
  CHECK(ReadCopyWritten("store", MakeOutcome(200, "{}")).has_value());
  for (const auto& [status, execution] :
       {std::pair(503, Execution::kNotRun), std::pair(404, Execution::kNotRun),
        std::pair(502, Execution::kMayHaveRun)}) {
    CHECK(ReadCopyWritten("store", MakeOutcome(status, "")).error().execution ==
          execution);
  }
  HttpOutcome lost;
  lost.failure = HttpFailure::kNoAnswer;
  CHECK(ReadCopyWritten("store", lost).error().execution ==
        Execution::kMayHaveRun);
}

// Guards against a missing topic or a damaged value taken for a table.
TEST_CASE("Copy of the route table is read by its key") {
  const auto read = [](int status, const std::string& body) {
    return ReadCopy("store", MakeOutcome(status, body));
  };
  const std::string end = R"(,"end-offset":4,"has-more":false})";
  CHECK(read(200, R"({"items":[{"key":"other","value":"eA==","offset":1},)"
                  R"({"key":"table","value":"AAH/","offset":3}])" +
                      end)
            .value() == std::string("\x00\x01\xff", 3));
  CHECK_FALSE(read(200, R"({"items":[])" + end).value().has_value());
  CHECK_FALSE(read(404, "{}").has_value());
  CHECK_FALSE(read(200, "").has_value());
  CHECK_FALSE(read(200, R"({"items":[{"key":"table","value":"%%"}])" + end)
                  .has_value());
}

}  // namespace
}  // namespace geranium::platform
