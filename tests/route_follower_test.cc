#include "data_centre/route_follower.h"

#include <catch2/catch.hpp>

namespace geranium {
namespace {

class RouteFollowerTest {
 protected:
  static OperatorRecord RouteTableRecord(std::int64_t offset,
                                         std::uint64_t version) {
    RouteTable table;
    table.version = version;
    return {LogOffset(offset), table};
  }
  static OperatorRecord DataCentreRecord(std::int64_t offset,
                                         const std::string& name, bool out) {
    return {LogOffset(offset), DataCentreChange{DataCentreName(name), out}};
  }
  static Result<NewestRecordPage> MakePage(std::vector<OperatorRecord> records,
                                           std::int64_t end) {
    NewestRecordPage page;
    page.records = std::move(records);
    page.end = LogOffset(end);
    return page;
  }
  static Result<OperatorRecordBatch> MakeTail(
      std::vector<OperatorRecord> records) {
    OperatorRecordBatch tail;
    tail.records = std::move(records);
    return tail;
  }
  static Error MakeOutage() {
    return {ErrorCode::kConnection, "read", "store", "timeout",
            Execution::kNotRun};
  }

  RouteFollower follower_;
};

TEST_CASE_METHOD(
    RouteFollowerTest,
    "RouteFollower with an empty log follows it until a route table arrives") {
  CHECK(follower_.NextRequest().kind == OperatorLogRequest::Kind::kNewest);
  CHECK_FALSE(follower_.OnNewest(MakePage({}, 0)).has_value());
  CHECK(follower_.NextRequest().kind == OperatorLogRequest::Kind::kTail);
  const auto table = follower_.OnTail(MakeTail({RouteTableRecord(0, 3)}));
  REQUIRE(table.has_value());
  CHECK(table->version == 3);
  CHECK(follower_.NextRequest().from == LogOffset(1));
}

TEST_CASE_METHOD(
    RouteFollowerTest,
    "RouteFollower with a newer route table ignores an older one") {
  (void)follower_.OnNewest(MakePage({RouteTableRecord(4, 9)}, 5));
  CHECK_FALSE(follower_.OnTail(MakeTail({RouteTableRecord(5, 7)})).has_value());
  CHECK(follower_.OnTail(MakeTail({RouteTableRecord(6, 11)}))->version == 11);
}

TEST_CASE_METHOD(RouteFollowerTest,
                 "RouteFollower when a data centre is taken out and put back, "
                 "updates the route table") {
  (void)follower_.OnNewest(MakePage({RouteTableRecord(4, 9)}, 5));
  CHECK(follower_.OnTail(MakeTail({DataCentreRecord(5, "szeged", true)}))
            ->IsOutOfService(DataCentreName("szeged")));
  CHECK_FALSE(
      follower_.OnTail(MakeTail({DataCentreRecord(6, "szeged", false)}))
          ->IsOutOfService(DataCentreName("szeged")));
}

TEST_CASE_METHOD(
    RouteFollowerTest,
    "RouteFollower when the log has expired records, lists it again and puts "
    "data centres that are not listed back in service") {
  (void)follower_.OnNewest(
      MakePage({RouteTableRecord(4, 9), DataCentreRecord(3, "gyor", true)}, 5));
  OperatorRecordBatch expired;
  expired.expired = true;
  CHECK_FALSE(follower_.OnTail(expired).has_value());
  CHECK(follower_.NextRequest().kind == OperatorLogRequest::Kind::kNewest);
  const auto table =
      follower_.OnNewest(MakePage({RouteTableRecord(14, 12)}, 20));
  REQUIRE(table.has_value());
  CHECK(table->version == 12);
  CHECK_FALSE(table->IsOutOfService(DataCentreName("gyor")));
  CHECK(follower_.NextRequest().from == LogOffset(20));
}

TEST_CASE_METHOD(RouteFollowerTest,
                 "RouteFollower while the log is unavailable, backs off, logs "
                 "it once and keeps its offset") {
  (void)follower_.OnNewest(MakePage({RouteTableRecord(4, 9)}, 5));
  (void)follower_.OnTail(MakeOutage());
  const Duration first = follower_.NextRequest().delay;
  for (int i = 0; i < 6; ++i) (void)follower_.OnTail(MakeOutage());
  CHECK(follower_.NextRequest().delay > first);
  // A change has to be in force within two seconds of the log's recovery.
  CHECK(follower_.NextRequest().delay < Duration(500));
  CHECK(follower_.NextRequest().from == LogOffset(5));
  CHECK(follower_.TakeLogMessages().size() == 1);
  (void)follower_.OnTail(MakeTail({}));
  CHECK(follower_.NextRequest().delay == Duration(0));
  CHECK(follower_.TakeLogMessages().size() == 1);
}

TEST_CASE_METHOD(RouteFollowerTest,
                 "RouteFollower with several pages reads them as one listing") {
  NewestRecordPage first;
  first.records = {DataCentreRecord(2, "gyor", true)};
  first.end = LogOffset(6);
  first.last_key = "evacuate/gyor";
  first.has_more = true;
  CHECK_FALSE(follower_.OnNewest(first).has_value());
  CHECK(follower_.NextRequest().after_key == "evacuate/gyor");
  const auto table = follower_.OnNewest(MakePage({RouteTableRecord(4, 9)}, 9));
  REQUIRE(table.has_value());
  CHECK(table->IsOutOfService(DataCentreName("gyor")));
  // Records written between the page reads are read again.
  CHECK(follower_.NextRequest().from == LogOffset(6));
}

}  // namespace
}  // namespace geranium
