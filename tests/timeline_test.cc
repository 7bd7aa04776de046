#include "timeline/timeline.h"

#include <catch2/catch.hpp>

namespace geranium {
namespace {

using Json = nlohmann::json;

class TimelineTest {
 protected:
  static Json MakeEvent(int sequence, int at_ms, const std::string& kind,
                        const std::string& attempt = "") {
    Json json{{"sequence", sequence}, {"at_ms", at_ms}, {"kind", kind}};
    if (!attempt.empty()) json["attempt"] = attempt;
    return json;
  }

  static Json MakeStream(const std::string& process, const Json& offsets,
                         const Json& events) {
    return {{"process", process},
            {"data_centre", ""},
            {"clock_offsets_ms", offsets},
            {"events", events}};
  }

  static std::string MergedKinds(const std::vector<Json>& streams) {
    std::string kinds;
    for (const TimelineEvent& event : Merge(streams)) kinds += event.kind + " ";
    return kinds;
  }
};

TEST_CASE_METHOD(
    TimelineTest,
    "Timeline with clocks that differ aligns events by the offsets") {
  const Json entry =
      MakeStream("entry", {{"worker", 5000}},
                 {MakeEvent(1, 100, "a"), MakeEvent(2, 300, "c")});
  const Json worker =
      MakeStream("worker", Json::object(),
                 {MakeEvent(1, 5200, "b"), MakeEvent(2, 5400, "d")});
  CHECK(MergedKinds({entry, worker}) == "a b c d ");
}

TEST_CASE_METHOD(
    TimelineTest,
    "Timeline with wrong clock offsets places no effect before its cause") {
  const Json entry = MakeStream("entry", {{"worker", 0}},
                                {MakeEvent(1, 100, "offer_sent", "x"),
                                 MakeEvent(2, 110, "ready_received", "x")});
  const Json worker = MakeStream("worker", Json::object(),
                                 {MakeEvent(1, 60, "offer_received", "x"),
                                  MakeEvent(2, 61, "ready_sent", "x")});
  CHECK(MergedKinds({entry, worker}) ==
        "offer_sent offer_received ready_sent ready_received ");
}

}  // namespace
}  // namespace geranium
