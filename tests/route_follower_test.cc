#include "data_centre/route_follower.h"

#include <catch2/catch.hpp>

#include "entry/step_entry_node.h"

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

// Guards against a change that never comes into force at an entry that has a
// table of the listing's offset from a peer or a copy, and so ignores the
// listed one: a later page already held the effect of a later record.
TEST_CASE_METHOD(RouteFollowerTest,
                 "RouteFollower returns the table again for a record whose "
                 "effect was listed before its offset") {
  const bool out = GENERATE(true, false);
  NewestRecordPage first;
  first.end = LogOffset(6);
  first.last_key = "config";
  first.has_more = true;
  first.records = {RouteTableRecord(4, 9)};
  (void)follower_.OnNewest(first);
  std::vector<OperatorRecord> second;
  if (out) second.push_back(DataCentreRecord(6, "gyor", true));
  CHECK(follower_.OnNewest(MakePage(second, 7))->offset == LogOffset(6));
  const auto table =
      follower_.OnTail(MakeTail({DataCentreRecord(6, "gyor", out)}));
  REQUIRE(table.has_value());
  CHECK(table->offset == LogOffset(7));
  CHECK(table->IsOutOfService(DataCentreName("gyor")) == out);
}

// Guards against a stale copy that outlives the outage of the log, and against
// an evacuation that is skipped since it was recorded after the copy.
TEST_CASE_METHOD(RouteFollowerTest,
                 "RouteFollower replaces a table adopted from a copy") {
  StepEntryNode node({});
  RouteTable copy;
  copy.version = 9;
  copy.offset = LogOffset(6);
  copy.data_centres_out.emplace_back("szeged");
  node.OnRouteTable(copy, "copy", TimePoint());
  (void)follower_.OnNewest(MakeOutage());
  CHECK(follower_.NextRequest().kind == OperatorLogRequest::Kind::kNewest);
  // Since the copy, szeged was put back in service and gyor taken out.
  const auto table = follower_.OnNewest(
      MakePage({RouteTableRecord(4, 9), DataCentreRecord(7, "gyor", true)}, 8));
  REQUIRE(table.has_value());
  node.OnRouteTable(*table, "operator", TimePoint());
  CHECK(node.table().IsOutOfService(DataCentreName("gyor")));
  CHECK_FALSE(node.table().IsOutOfService(DataCentreName("szeged")));
  // A copy read late does not bring it back.
  node.OnRouteTable(copy, "copy", TimePoint());
  CHECK(node.table().offset == LogOffset(8));
}

}  // namespace
}  // namespace geranium
