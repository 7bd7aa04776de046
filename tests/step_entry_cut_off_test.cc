#include "step_entry_node_fixture.h"

namespace geranium {
namespace {

/// An entry, two others that may be cut off from it, and an agent.
class StepEntryCutOffTest : public StepEntryNodeTest {
 protected:
  static constexpr Duration kStep{100};

  /// Who is heard from, and what they tell of the second entry.
  struct Contacts {
    bool second = true;
    bool third = true;
    bool agent = true;
    std::optional<Duration> agent_heard_second = {};
    std::optional<Duration> third_heard_second = {};
  };

  void Pass(Duration span, const Contacts& contacts) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      if (contacts.second) Beat(kSecond);
      if (contacts.third) Beat(kThird);
      if (contacts.agent) Beat(kAgent);
      TellOfSecond(kAgent, contacts.agent_heard_second);
      TellOfSecond(kThird, contacts.third_heard_second);
      Advance(kStep);
    }
  }

  void Beat(LinkId link) {
    Receive(link,
            Heartbeat{now_, now_, Version(1), std::nullopt, std::nullopt});
  }

  void TellOfSecond(LinkId link, std::optional<Duration> age) {
    if (!age) return;
    Receive(link, EntriesHeard{{{IncarnationAt(kSecond), *age}}});
  }

  /// The second entry announces the job, and its link is lost.
  void LoseHolder() {
    Receive(kSecond, JobsAccepted{{job_}});
    node_.OnLinkDown(kSecond, now_);
  }

  static Contacts WithoutSecond() {
    Contacts contacts;
    contacts.second = false;
    return contacts;
  }

  static constexpr Contacts Nobody() { return {false, false, false, {}, {}}; }
};

// Guards against a job that is started beside its runs at an entry which only
// this one does not hear from (review/11).
TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode sent a job of an entry that only agents hear "
                 "waits for that entry") {
  LoseHolder();
  Contacts contacts = WithoutSecond();
  contacts.agent_heard_second = Duration(50);
  Pass(Duration(5000), contacts);
  ReportFreeWorker();
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).empty());
  Pass(Duration(3000), contacts);
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).empty());
  LinkEntry(kSecond);
  CHECK(Sent<JobHandoverRequest>(kSecond).size() == 1);
  Receive(kSecond, JobHandedOver{job_});
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode sent a job of an entry that only another entry "
                 "hears waits for that entry") {
  LoseHolder();
  Contacts contacts = WithoutSecond();
  contacts.third_heard_second = Duration(50);
  Pass(Duration(5000), contacts);
  ReportFreeWorker();
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).empty());
}

// Its runs have ended 1.5 s after agents last heard from it, whenever they
// tell.
TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode sent a job of an entry that agents hear no "
                 "longer starts it once that entry counts as lost") {
  LoseHolder();
  Submit(1);
  Contacts contacts = WithoutSecond();
  for (std::int64_t age = 100; age < 1500; age += 100) {
    contacts.agent_heard_second = Duration(age);
    contacts.third_heard_second = Duration(age);
    Pass(kStep, contacts);
    ReportFreeWorker();
    CHECK(Sent<StartTask>(kAgent).empty());
  }
  Pass(Duration(300), WithoutSecond());
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode that does not hear an entry asks the others of "
                 "it until it counts as lost") {
  node_.OnLinkDown(kSecond, now_);
  Pass(Duration(400), WithoutSecond());
  CHECK(Sent<EntriesSilent>(kThird).empty());
  Pass(Duration(400), WithoutSecond());
  const auto asked = Sent<EntriesSilent>(kThird);
  REQUIRE_FALSE(asked.empty());
  CHECK(asked[0].entries == std::vector{IncarnationAt(kSecond)});
  Pass(Duration(2000), WithoutSecond());
  actions_.clear();
  Pass(Duration(2000), WithoutSecond());
  CHECK(Sent<EntriesSilent>(kThird).empty());
}

TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode asked of a silent entry tells when it or its "
                 "agents last heard it, but not what it was told itself") {
  const EntriesSilent question{{IncarnationAt(kSecond)}};
  Pass(Duration(600), WithoutSecond());
  Receive(kThird, question);
  const auto answers = Sent<EntriesHeard>(kThird);
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].entries.size() == 1);
  CHECK(answers[0].entries[0].entry == IncarnationAt(kSecond));
  CHECK(answers[0].entries[0].age >= Duration(600));
  SECTION("an agent has heard it since") {
    TellOfSecond(kAgent, Duration(20));
    Receive(kThird, question);
    CHECK(Sent<EntriesHeard>(kThird).back().entries[0].age == Duration(20));
  }
  SECTION("another entry has heard it since") {
    TellOfSecond(kThird, Duration(20));
    Pass(Duration(1500), WithoutSecond());
    actions_.clear();
    Receive(kThird, question);
    CHECK(Sent<EntriesHeard>(kThird).empty());
  }
}

// Guards against an entry that was cut off and orders the tasks of its jobs
// anew, beside the entries that have taken them over (review/12).
TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode that nobody hears gives its jobs up before "
                 "others may take them over") {
  tasks_ = 40;  // More than the worker can run at once.
  Submit(1);
  const std::size_t ordered = Sent<StartTask>(kAgent).size();
  REQUIRE(ordered > 0);
  REQUIRE(ordered < 40);
  Pass(Duration(1100), Nobody());
  CHECK_FALSE(AnswerTo(1));
  Pass(Duration(200), Nobody());
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
  ReportFreeWorker();
  Beat(kAgent);
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).size() == ordered);
}

TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode that hears others, but is heard by nobody, "
                 "gives its jobs up") {
  Submit(1);
  const TimePoint last_heard = now_;
  for (int i = 0; i < 14; ++i) {
    for (const LinkId link : {kSecond, kThird, kAgent}) {
      Receive(link, Heartbeat{now_, last_heard, Version(1), std::nullopt,
                              std::nullopt});
    }
    Advance(kStep);
  }
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
}

TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode that only an agent hears keeps its jobs") {
  Submit(1);
  Contacts contacts = Nobody();
  contacts.agent = true;
  Pass(Duration(3000), contacts);
  CHECK_FALSE(AnswerTo(1));
}

// "Not run" could be wrong: another entry may have a copy.
TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode that nobody hears answers a job at once, and "
                 "not that it never runs") {
  Pass(Duration(2000), Nobody());
  Submit(1);
  CHECK(AnswerTo(1) == StepAnswer::kAbandoned);
  CHECK_FALSE(node_.IsReady(now_));
}

TEST_CASE_METHOD(StepEntryCutOffTest,
                 "StepEntryNode that was cut off asks others of a job before "
                 "it starts the job") {
  Pass(Duration(2000), Nobody());
  node_.OnLinkDown(kSecond, now_);
  node_.OnLinkDown(kThird, now_);
  Beat(kAgent);
  ReportFreeWorker();
  Submit(1);
  CHECK(Sent<StartTask>(kAgent).empty());
  LinkEntry(kSecond);
  const auto queries = Sent<JobHoldersQuery>(kSecond);
  REQUIRE_FALSE(queries.empty());
  Advance(Duration(60));
  Receive(kSecond, JobHolders{job_, queries.back().sent_at, {}, true});
  ReportFreeWorker();
  CHECK(Sent<StartTask>(kAgent).size() == 1);
}

class StepEntryDataCentreTest : public StepEntryNodeTest {
 protected:
  void Publish(std::int64_t offset, const std::vector<std::string>& out) {
    RouteTable table = node_.table();
    table.offset = LogOffset(offset);
    table.data_centres_out.clear();
    for (const std::string& name : out) {
      table.data_centres_out.emplace_back(name);
    }
    node_.OnRouteTable(table, "operator", now_);
    Collect();
  }

  void AnnounceWorkerIn(const std::string& data_centre) {
    WorkerCard card = Card();
    card.data_centre = DataCentreName(data_centre);
    Receive(kAgent, card);
  }

  std::vector<std::pair<std::int64_t, bool>> Updates() const {
    std::vector<std::pair<std::int64_t, bool>> updates;
    for (const auto& update : Sent<DataCentreUpdate>(kAgent)) {
      CHECK(update.data_centre == DataCentreName("gyor"));
      updates.emplace_back(update.offset.value(), update.out);
    }
    return updates;
  }
};

// Guards against tasks that an entry with an older table still starts in a data
// centre that is out of service (review/6).
TEST_CASE_METHOD(StepEntryDataCentreTest,
                 "StepEntryNode with a table that takes a data centre out or "
                 "puts it back tells the agents there, behind a heartbeat") {
  AnnounceWorkerIn("gyor");
  actions_.clear();
  Publish(2, {"gyor"});
  REQUIRE_FALSE(Sent<Heartbeat>(kAgent).empty());
  CHECK(Sent<Heartbeat>(kAgent).back().version == Version(2));
  Publish(3, {"gyor", "szeged"});
  Publish(4, {"szeged"});
  Publish(5, {});
  CHECK(Updates() == std::vector<std::pair<std::int64_t, bool>>{
                         {2, true}, {3, true}, {4, false}});
}

TEST_CASE_METHOD(StepEntryDataCentreTest,
                 "StepEntryNode with a data centre out tells an agent there "
                 "that is linked later, and no other one") {
  Publish(2, {"gyor"});
  AnnounceWorkerIn("szeged");
  CHECK(Updates().empty());
  AnnounceWorkerIn("gyor");
  CHECK(Updates() == std::vector<std::pair<std::int64_t, bool>>{{2, true}});
}

}  // namespace
}  // namespace geranium
