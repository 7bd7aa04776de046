#include <catch2/catch.hpp>

#include "timeline/timeline.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

class TimeLineTest {
 protected:
  static Json EventAt(int sequence, int at_ms, const std::string& kind,
                      const std::string& attempt = "") {
    Json json{{"sequence", sequence}, {"at_ms", at_ms}, {"kind", kind}};
    if (!attempt.empty()) json["attempt"] = attempt;
    return json;
  }

  static Json Stream(const std::string& process, const Json& offsets,
                     const Json& events) {
    return {{"process", process},
            {"data_centre", ""},
            {"clock_offsets_ms", offsets},
            {"events", events}};
  }

  static std::string Kinds(const std::vector<Json>& streams) {
    std::string kinds;
    for (const TimelineEvent& event : Merge(streams)) kinds += event.kind + " ";
    return kinds;
  }
};

TEST_CASE_METHOD(TimeLineTest, "TimeLine clocks apart are set by the offsets") {
  const Json entry = Stream("entry", {{"worker", 5000}},
                            {EventAt(1, 100, "a"), EventAt(2, 300, "c")});
  const Json worker = Stream("worker", Json::object(),
                             {EventAt(1, 5200, "b"), EventAt(2, 5400, "d")});
  CHECK(Kinds({entry, worker}) == "a b c d ");
}

TEST_CASE_METHOD(TimeLineTest,
                 "TimeLine effect never stands before its cause") {
  const Json entry = Stream("entry", {{"worker", 0}},
                            {EventAt(1, 100, "offer_sent", "x"),
                             EventAt(2, 110, "ready_received", "x")});
  const Json worker = Stream("worker", Json::object(),
                             {EventAt(1, 60, "offer_received", "x"),
                              EventAt(2, 61, "ready_sent", "x")});
  CHECK(Kinds({entry, worker}) ==
        "offer_sent offer_received ready_sent ready_received ");
}

}  // namespace
}  // namespace geranium
