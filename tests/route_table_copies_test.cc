#include "data_centre/route_table_copies.h"

#include <catch2/catch.hpp>

#include "entry/step_entry_node.h"
#include "link/codec.h"

namespace geranium {
namespace {

using Kind = RouteTableCopyRequest::Kind;
using Copy = std::optional<std::string>;

/// An entry that keeps two copies, and the answers of the store.
class RouteTableCopiesTest {
 protected:
  static RouteTable Table(std::int64_t offset, std::uint64_t version = 1) {
    RouteTable table;
    table.offset = LogOffset(offset);
    table.version = version;
    return table;
  }
  static Result<Copy> Encoded(const RouteTable& table) {
    return Copy(EncodeFrame({RouteTablePush{table}}));
  }
  static Error Failure(Execution execution = Execution::kNotRun) {
    return {ErrorCode::kConnection, "call", "store", "HTTP status 503",
            execution};
  }
  /// The calls that are made after this time, as `w1` or `r2`.
  std::vector<std::string> CallsAfter(std::int64_t ms) {
    now_ = now_ + Duration(ms);
    std::vector<std::string> calls;
    for (auto& request : copies_.TakeRequests(state_, now_)) {
      calls.push_back((request.kind == Kind::kWrite ? "w" : "r") +
                      std::to_string(request.partition));
      if (request.kind == Kind::kWrite) value_ = request.value;
    }
    return calls;
  }
  void Write(const RouteTable& table) {
    copies_.OnOperatorTable(table, now_);
    REQUIRE(CallsAfter(200) == Calls{"w1", "w2"});
  }
  void Written(int partition, const Result<void>& result) {
    copies_.OnWritten(partition, result, now_);
  }
  static Result<void> Ok() { return boost::outcome_v2::success(); }

  using Calls = std::vector<std::string>;
  RouteTableCopies copies_{2};
  RouteTableState state_{true, LogOffset(5), true, false};
  TimePoint now_;
  std::string value_;  ///< Of the last write.
};

// Guards against priced calls while nothing changes.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies writes a changed table once per partition") {
  copies_.OnOperatorTable(Table(5), now_);
  CHECK(CallsAfter(199).empty());
  CHECK(CallsAfter(1) == Calls{"w1", "w2"});
  const auto frame = DecodeFrame(value_);
  REQUIRE(frame.has_value());
  CHECK(std::get<RouteTablePush>(frame.value()[0]).table.offset ==
        LogOffset(5));
  Written(1, Ok());
  Written(2, Ok());
  CHECK(copies_.counters().written == 2);
  copies_.OnOperatorTable(Table(5), now_);
  CHECK(CallsAfter(5000).empty());
  // The log was compacted and listed anew.
  copies_.OnOperatorTable(Table(9), now_);
  CHECK(CallsAfter(5000).empty());
  RouteTable evacuated = Table(10);
  evacuated.data_centres_out.emplace_back("north");
  copies_.OnOperatorTable(evacuated, now_);
  CHECK(CallsAfter(200).size() == 2);
  RouteTableCopies off(0);
  off.OnOperatorTable(Table(5), now_);
  CHECK(off.TakeRequests(state_, now_ + Duration(1000)).empty());
}

// Guards against a call of every entry for one change, also of one that is
// linked to the others only after it has read the change.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies writes only with the lowest incarnation") {
  copies_.OnOperatorTable(Table(5), now_);
  state_.has_lowest_incarnation = false;
  CHECK(CallsAfter(200).empty());
  state_.has_lowest_incarnation = true;
  CHECK(CallsAfter(5000).empty());

  StepEntryOptions options;
  options.incarnation = Incarnation(5);
  StepEntryNode node(options);
  CHECK(node.HasLowestIncarnation());
  for (const std::uint64_t other : {7, 3}) {
    Hello hello;
    hello.role = ProcessRole::kEntry;
    hello.incarnation = Incarnation(other);
    node.OnLinkUp(LinkId(other), now_);
    node.OnMessage(LinkId(other), hello, now_);
    CHECK(node.HasLowestIncarnation() == (other == 7));
  }
}

// Guards against writes of tables that were superseded at once.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies writes the newest of several changes") {
  copies_.OnOperatorTable(Table(5, 1), now_);
  CHECK(CallsAfter(100).empty());
  copies_.OnOperatorTable(Table(6, 2), now_);
  CHECK(CallsAfter(100).empty());
  CHECK(CallsAfter(100).size() == 2);
  // The next one waits until the older one cannot overtake it any more.
  copies_.OnOperatorTable(Table(7, 3), now_);
  Written(1, Ok());
  CHECK(CallsAfter(200) == Calls{"w1"});
  Written(2, Failure());
  CHECK(CallsAfter(0) == Calls{"w2"});
}

// Guards against calls without end while a partition is unavailable, and
// against paying twice for a copy that was stored.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies repeats a failed write once, after 1 s, and "
                 "not one whose answer was lost") {
  Write(Table(5, 1));
  Written(1, Failure());
  Written(2, Failure(Execution::kMayHaveRun));
  CHECK(CallsAfter(999).empty());
  CHECK(CallsAfter(1) == Calls{"w1"});
  Written(1, Failure());
  CHECK(CallsAfter(10'000).empty());
  CHECK(copies_.counters().failed_writes == 3);
  // A change ends the wait for the older table's second try.
  Write(Table(6, 2));
  Written(1, Failure());
  copies_.OnOperatorTable(Table(7, 3), now_);
  CHECK(CallsAfter(200) == Calls{"w1"});
  Written(1, Failure());
  state_.has_lowest_incarnation = false;
  CHECK(CallsAfter(1000).empty());
}

// Guards against a table that the store rejects each time.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies does not write a table that is too large") {
  RouteTable table = Table(5);
  table.routes.resize(1);
  table.routes[0].host = std::string(RouteTableCopies::kMaxRecordBytes, 'h');
  copies_.OnOperatorTable(table, now_);
  CHECK(CallsAfter(200).empty());
  CHECK(copies_.counters().failed_writes == 1);
  CHECK(copies_.TakeLogMessages().at(0).event ==
        "route_table_too_large_to_copy");
  state_ = {};
  CHECK_FALSE(copies_.OnRead(1, Encoded(table), state_).has_value());
}

// Guards against calls for copies while the log answers, and more than one
// round each 500 ms while it does not.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies reads copies only without a table and after "
                 "a failed read of the operator's log") {
  state_ = {false, LogOffset(), true, false};
  CHECK(CallsAfter(5000).empty());
  state_.is_log_unreachable = true;
  CHECK(CallsAfter(1) == Calls{"r1", "r2"});
  CHECK_FALSE(copies_.OnRead(1, Failure(), state_).has_value());
  CHECK(CallsAfter(499).empty());
  // The other one has not been answered.
  CHECK(CallsAfter(1) == Calls{"r1"});
  CHECK_FALSE(copies_.OnRead(1, Copy(), state_).has_value());
  state_.has_table = true;
  CHECK(CallsAfter(5000).empty());
}

// Guards against a stale copy in force beside a newer one.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies adopts the copy with the highest offset") {
  state_ = {};
  CHECK(copies_.OnRead(1, Encoded(Table(7)), state_)->offset == LogOffset(7));
  state_ = {true, LogOffset(7), true, true};
  const std::int64_t other = GENERATE(6, 7, 8);
  CHECK(copies_.OnRead(2, Encoded(Table(other)), state_).has_value() ==
        (other == 8));
}

// Guards against an entry that fails over a copy of another version.
TEST_CASE_METHOD(RouteTableCopiesTest,
                 "RouteTableCopies ignores a copy that cannot be decoded and "
                 "logs it once") {
  state_ = {};
  const std::string bytes = *Encoded(Table(7)).value();
  for (const std::string& bad :
       {std::string(), std::string("\xff\x00", 2), std::string("{}"),
        bytes.substr(0, bytes.size() - 1), EncodeFrame({}),
        EncodeFrame({RouteTablePull{}}), *Encoded(Table(7, 0)).value()}) {
    CHECK_FALSE(copies_.OnRead(1, Copy(bad), state_).has_value());
  }
  CHECK(copies_.TakeLogMessages().size() == 1);
  CHECK(copies_.OnRead(2, Encoded(Table(7)), state_).has_value());
}

}  // namespace
}  // namespace geranium
