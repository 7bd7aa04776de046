#include <catch2/catch.hpp>
#include <exception>
#include <random>
#include <string>
#include <vector>

#include "entry/step_entry_node.h"
#include "link/codec.h"
#include "worker/worker_session.h"

namespace geranium {
namespace {

constexpr int kSeeds = 40;
constexpr int kFramesPerSeed = 250;
inline const LinkId kFaultyLink{7};

/// Frames as a peer sends them, with some bytes changed, and what an entry and
/// an agent do with those that can still be decoded.
class MalformedMessagesTest {
 protected:
  explicit MalformedMessagesTest()
      : node_(EntryOptions()), session_(AgentOptions()) {}

  static StepEntryOptions EntryOptions() {
    StepEntryOptions options;
    options.id = EntryId("e");
    options.incarnation = Incarnation(1);
    options.link_address = "e";
    options.scheduler.incarnation = options.incarnation;
    return options;
  }

  static WorkerSessionOptions AgentOptions() {
    WorkerSessionOptions options;
    options.capacity_hold = Duration(20);
    return options;
  }

  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }

  static RouteTable Table() {
    RouteTable table;
    table.version = 1;
    table.offset = LogOffset(1);
    Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/";
    route.service = ServiceName("s");
    table.routes.push_back(route);
    return table;
  }

  static StepSubmission Submission(std::size_t number) {
    StepSubmission submission;
    submission.host = "h";
    submission.path = "/" + std::to_string(number);
    submission.job.id = StepJobId(std::to_string(number));
    StepSpec step;
    step.count = 2;
    step.size = Resources{4, 1, 0};
    step.estimate = Duration(50);
    submission.job.steps.push_back(step);
    return submission;
  }

  Frame ValidFrame() {
    Hello hello;
    hello.role = Below(2) == 0 ? ProcessRole::kEntry : ProcessRole::kAgent;
    hello.incarnation = Incarnation(1 + Below(4));
    hello.link_address = "peer";
    WorkerCard card;
    card.id = WorkerId("w");
    card.service = ServiceName("s");
    card.capacity = Resources{32, 1024, 0};
    card.previous_runs_ended = true;
    WorkerReport report;
    report.accepting = true;
    report.free = card.capacity;
    report.queued_cpu = {1, 2, 3, 4};
    const AttemptId attempt{Incarnation(1 + Below(2)), 1 + Below(6)};
    const StepJobId job(std::to_string(Below(8)));
    StartTask start;
    start.attempt = attempt;
    start.run = TaskRun{TaskName("t"), 1 + Below(3)};
    start.size = Resources{8, 1, 0};
    start.estimate = Duration(50);
    start.more_waiting = true;
    const std::vector<Message> all = {
        hello,
        card,
        report,
        start,
        Heartbeat{now_, now_, Version(0), std::nullopt, std::nullopt},
        Members{{"a", "b"}},
        StopTask{attempt},
        TaskEnd{attempt, AttemptEnd::kNotStarted, "x"},
        TaskEndAck{attempt},
        AttemptList{{attempt}},
        RouteTablePull{LogOffset(0)},
        RouteTablePush{Table()},
        JobsAccepted{{job}},
        JobHandoverRequest{job},
        JobHandedOver{job},
        JobMoved{job, Incarnation(3)},
        WorkerCrashed{WorkerId("w"), {"r", ""}, {TaskName("t")}},
        JobsCancelled{{job}}};
    Frame frame{hello};
    for (std::size_t i = 0; i <= Below(4); ++i) {
      frame.push_back(all[Below(all.size())]);
    }
    return frame;
  }

  std::string Mutated(std::string bytes) {
    for (std::size_t i = Below(4); i > 0 && !bytes.empty(); --i) {
      const std::size_t at = Below(bytes.size());
      switch (Below(3)) {
        case 0:
          bytes[at] = static_cast<char>(Below(256));
          break;
        case 1:
          bytes.erase(at, 1 + Below(6));
          break;
        default:
          bytes.insert(at, bytes.substr(at, 1 + Below(6)));
      }
    }
    return bytes;
  }

  /// An exception resets the peer's link, as PeerLinks does.
  template <class Process>
  void Deliver(Process& process, const Frame& frame) {
    try {
      for (const Message& message : frame) {
        process.OnMessage(kFaultyLink, message, now_);
      }
      process.OnTick(now_);
    } catch (const std::exception&) {
      ++exceptions_;
      process.OnLinkDown(kFaultyLink, now_);
      process.OnLinkUp(kFaultyLink, now_);
    }
    (void)process.TakeActions();
  }

  void Play(std::uint64_t seed) {
    random_.seed(seed);
    node_.OnRouteTable(Table(), "operator", now_);
    node_.OnLinkUp(kFaultyLink, now_);
    WorkerAnnouncement worker;
    worker.id = WorkerId("w");
    worker.service = ServiceName("s");
    worker.capacity = Resources{32, 1024, 0};
    worker.started_ms = 1;
    session_.OnAnnouncement(worker, now_);
    session_.OnLinkUp(kFaultyLink, now_);
    for (int i = 0; i < kFramesPerSeed; ++i) {
      now_ = now_ + Duration(static_cast<std::int64_t>(Below(30)));
      const auto frame = DecodeFrame(Mutated(EncodeFrame(ValidFrame())));
      if (!frame) continue;
      ++decoded_;
      Deliver(node_, frame.value());
      Deliver(session_, frame.value());
      if (Below(3) == 0) {
        node_.OnSubmission(CallerHandle(seed * 1000 + Below(1'000'000)),
                           Submission(Below(8)), now_);
      }
    }
  }

  std::mt19937_64 random_;
  TimePoint now_{1000};
  StepEntryNode node_;
  WorkerSession session_;
  int decoded_ = 0;
  int exceptions_ = 0;
};

// Guards against a peer of another version, or a faulty one, whose messages are
// well-formed but make no sense.
TEST_CASE(
    "Malformed messages that can be decoded leave entry and agent able "
    "to go on") {
  struct Run : MalformedMessagesTest {
    using MalformedMessagesTest::decoded_;
    using MalformedMessagesTest::Play;
  };
  int decoded = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Run run;
    REQUIRE_NOTHROW(run.Play(seed));
    decoded += run.decoded_;
  }
  CHECK(decoded > kSeeds * kFramesPerSeed / 10);
}

}  // namespace
}  // namespace geranium
