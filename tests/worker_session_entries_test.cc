#include "worker_session_fixture.h"

namespace geranium {
namespace {

class WorkerSessionEntriesTest : public WorkerSessionTest {
 protected:
  WorkerSessionEntriesTest() { AnnounceIn("gyor"); }

  void AnnounceIn(const std::string& data_centre) {
    WorkerAnnouncement worker;
    worker.id = WorkerId("w");
    worker.service = ServiceName("s");
    worker.data_centre = DataCentreName(data_centre);
    worker.capacity = Resources{32, 1024, 0};
    worker.started_ms = 1;
    worker.sequence = ++sequence_;
    session_.OnAnnouncement(worker, now_);
    Tick();
  }

  void Beat(LinkId link, std::int64_t table_offset = 1) {
    session_.OnMessage(link,
                       Heartbeat{now_, now_, Version(table_offset),
                                 std::nullopt, std::nullopt},
                       now_);
  }

  /// Time passes while entries are heard, and the worker answers.
  void Pass(Duration span, const std::vector<LinkId>& heard) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      for (const LinkId link : heard) Beat(link, offsets_[link]);
      AnswerPoll(PollOutcome{});
      Advance(Duration(50));
    }
  }

  void Update(LinkId link, std::int64_t offset, bool out,
              const std::string& data_centre = "gyor") {
    session_.OnMessage(
        link,
        DataCentreUpdate{DataCentreName(data_centre), LogOffset(offset), out},
        now_);
    Advance(Duration(50));
  }

  template <class M>
  std::optional<M> Last(LinkId link) const {
    std::optional<M> last;
    for (const SessionAction& action : actions_) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr || send->link != link) continue;
      if (const auto* typed = std::get_if<M>(&send->message)) last = *typed;
    }
    return last;
  }

  /// True if the entry's next order is started.
  bool Starts(LinkId link) {
    Beat(link, offsets_[link]);
    const int before = CountActions<StartRun>();
    Order(link, ++number_);
    Tick();
    return CountActions<StartRun>() > before;
  }

  std::map<LinkId, std::int64_t> offsets_{{kFirst, 1}, {kSecond, 1}};
  std::uint64_t number_ = 0;
};

// Guards against entries that are cut off from each other, and take runs here
// for ended (review/11).
TEST_CASE_METHOD(WorkerSessionEntriesTest,
                 "WorkerSession tells its entries which of them it has heard "
                 "from, and for how long it has not") {
  Pass(Duration(300), {kFirst, kSecond});
  Pass(Duration(1000), {kFirst});
  const auto heard = Last<EntriesHeard>(kFirst);
  REQUIRE(heard);
  REQUIRE(heard->entries.size() == 2);
  CHECK(heard->entries[0].entry == Incarnation(kFirst.value()));
  CHECK(heard->entries[0].age <= Duration(100));
  CHECK(heard->entries[1].entry == Incarnation(kSecond.value()));
  CHECK(heard->entries[1].age >= Duration(900));
  CHECK(heard->entries[1].age <= Duration(1100));
}

TEST_CASE_METHOD(WorkerSessionEntriesTest,
                 "WorkerSession that hears one entry tells it of no entries") {
  Pass(Duration(2000), {kFirst});
  actions_.clear();
  Pass(Duration(300), {kFirst});
  CHECK(CountSent<Heartbeat>(kFirst) > 0);
  CHECK(CountSent<EntriesHeard>(kFirst) == 0);
}

// Guards against tasks that an entry which is cut off starts in a data centre
// that is out of service (review/6).
TEST_CASE_METHOD(WorkerSessionEntriesTest,
                 "WorkerSession in a data centre that is out returns orders of "
                 "an entry with an older table, and tells it that it accepts "
                 "none") {
  offsets_ = {{kFirst, 1}, {kSecond, 2}};
  Pass(Duration(100), {kFirst, kSecond});
  REQUIRE(Starts(kFirst));
  Update(kSecond, 2, true);
  REQUIRE(Last<WorkerReport>(kFirst));
  CHECK_FALSE(Last<WorkerReport>(kFirst)->accepting);
  CHECK(Last<WorkerReport>(kSecond)->accepting);
  CHECK_FALSE(Starts(kFirst));
  const auto end = Last<TaskEnd>(kFirst);
  REQUIRE(end);
  CHECK(end->end == AttemptEnd::kNotStarted);
  SECTION("the entry gets the newer table") {
    offsets_[kFirst] = 2;
    CHECK(Starts(kFirst));
    Pass(Duration(100), {kFirst, kSecond});
    CHECK(Last<WorkerReport>(kFirst)->accepting);
  }
  SECTION("the data centre is put back") {
    offsets_[kSecond] = 3;
    Update(kSecond, 3, false);
    CHECK(Last<WorkerReport>(kFirst)->accepting);
    CHECK(Starts(kFirst));
  }
  SECTION("an entry that has missed its return tells that it is out") {
    Update(kSecond, 3, false);
    Update(kFirst, 2, true);
    CHECK(Starts(kFirst));
  }
}

TEST_CASE_METHOD(WorkerSessionEntriesTest,
                 "WorkerSession told that other data centres are out, or its "
                 "own was put back, takes orders of all entries") {
  offsets_ = {{kFirst, 1}, {kSecond, 5}};
  Update(kSecond, 4, true, "szeged");
  Update(kSecond, 5, false);
  CHECK(Starts(kFirst));
  CHECK(Starts(kSecond));
}

}  // namespace
}  // namespace geranium
