// Measures the slopes in docs/CAPACITY.md: CPU time and memory per message,
// task, worker, key and service in the decision objects and the codec.

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/entry_node.h"
#include "link/codec.h"
#include "worker/agent_node.h"

namespace {

using namespace geranium;  // NOLINT(google-build-using-namespace)

double CpuUs() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec) * 1e6 +
         static_cast<double>(usage.ru_utime.tv_usec) +
         static_cast<double>(usage.ru_stime.tv_sec) * 1e6 +
         static_cast<double>(usage.ru_stime.tv_usec);
}

// Heap bytes in use, without memory that the allocator holds free.
double BytesInUse() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

struct Point {
  double x = 0;
  double y = 0;
};

// Prints the least-squares line and its largest residual.
void PrintFit(const std::string& name, const std::string& unit,
              const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Point& p : points) {
    sum_x += p.x;
    sum_y += p.y;
    sum_xx += p.x * p.x;
    sum_xy += p.x * p.y;
  }
  const auto n = static_cast<double>(points.size());
  const double slope =
      (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  const double intercept = (sum_y - slope * sum_x) / n;
  double residual = 0;
  std::string points_text;
  for (const Point& p : points) {
    residual = std::max(residual, std::abs(p.y - intercept - slope * p.x));
    char text[64];
    std::snprintf(text, sizeof text, " %.0f:%.4g", p.x, p.y);
    points_text += text;
  }
  std::printf("%s | %.4g + %.4g per unit | %s | largest residual %.3g |%s\n",
              name.c_str(), intercept, slope, unit.c_str(), residual,
              points_text.c_str());
}

std::string MakeServiceText(int services) {
  std::string text = "[data_centre north]\nregion = r\n";
  for (int i = 0; i < services; ++i) {
    text += "[service s" + std::to_string(i) +
            "]\nidempotent = false\ntimeout_ms = 5000\n";
  }
  return text;
}

ConfigurationState MakeConfigurationState(int services) {
  ConfigurationState state;
  ApplyRecord(LogOffset(1), TextRecord{MakeServiceText(services), Version(0)},
              state);
  return state;
}

/// An entry linked to a number of workers that answer at once.
class EntryBench {
 public:
  explicit EntryBench(int workers) : node_(Options()) {
    node_.OnTick(now_);
    LogBatch batch;
    batch.first = LogOffset(1);
    batch.next = LogOffset(2);
    batch.records.push_back(
        {LogOffset(1), RecordId("t"), Duration(0),
         EncodeRecord(TextRecord{MakeServiceText(1), Version(0)})});
    node_.OnLogRead(LogStream::kConfiguration, batch, now_, now_);
    for (int i = 0; i < workers; ++i) Connect(i);
    (void)node_.TakeActions();
  }

  void ReceiveHeartbeats(int workers) {
    Heartbeat heartbeat;
    heartbeat.version = Version(1);
    heartbeat.sent_at = now_;
    heartbeat.echo = now_;
    heartbeat.load = MakeLoad();
    for (int i = 0; i < workers; ++i) {
      node_.OnMessage(LinkId(static_cast<std::uint64_t>(i) + 1), heartbeat,
                      now_);
    }
  }

  // Runs a one-task job from submission to answer.
  void RunTask() {
    Submission submission;
    submission.service = ServiceName("s0");
    submission.tasks.push_back(TaskSpec{"payload", {}});
    node_.OnSubmission(CallerHandle(++callers_), submission, now_);
    AnswerOffers();
  }

  // Submits tasks that stay open, as no worker answers their offers.
  void SubmitUnansweredTasks(int tasks) {
    for (int i = 0; i < tasks; ++i) {
      Submission submission;
      submission.service = ServiceName("s0");
      submission.tasks.push_back(TaskSpec{"payload", {}});
      node_.OnSubmission(CallerHandle(++callers_), submission, now_);
    }
    (void)node_.TakeActions();
  }

  void Advance(Duration span) {
    now_ = now_ + span;
    node_.OnTick(now_);
    (void)node_.TakeActions();
  }

 private:
  static EntryOptions Options() {
    EntryOptions options;
    options.id = EntryId("entry");
    options.incarnation = Incarnation(1);
    options.freshness_limit = Duration(1'000'000'000);
    options.dispatcher.queue_limit = 100'000'000;
    options.dispatcher.default_deadline = Duration(600'000);
    return options;
  }

  static WorkerLoad MakeLoad() {
    WorkerLoad load;
    load.free_slots = 8;
    load.urgent_free_slots = 8;
    load.offers_seen = 1'000'000'000;
    return load;
  }

  void Connect(int i) {
    const LinkId link(static_cast<std::uint64_t>(i) + 1);
    node_.OnLinkUp(link, now_);
    Hello hello;
    hello.name = "worker-" + std::to_string(i);
    hello.incarnation = Incarnation(static_cast<std::uint64_t>(i) + 100);
    WorkerProfile profile;
    profile.id = WorkerId(hello.name);
    profile.data_centre = DataCentreName("north");
    profile.services = {ServiceName("s0")};
    profile.slots = 8;
    profile.capacity = Resources{32, 64000, 0};
    hello.worker = profile;
    node_.OnMessage(link, hello, now_);
  }

  void AnswerOffers() {
    for (EntryAction& action : node_.TakeActions()) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) continue;
      if (const auto* offer = std::get_if<Offer>(&send->message)) {
        node_.OnMessage(send->link, Ready{offer->attempt, MakeLoad()}, now_);
        AnswerOffers();
      } else if (const auto* grant = std::get_if<Grant>(&send->message)) {
        TaskResult result;
        result.attempt = grant->attempt;
        result.job = grant->assignment.job;
        result.task = grant->assignment.task;
        result.outcome.status = TaskStatus::kSucceeded;
        result.outcome.http_status = 200;
        result.load = MakeLoad();
        node_.OnMessage(send->link, result, now_);
      }
    }
  }

  TimePoint now_{1000};
  EntryNode node_;
  std::uint64_t callers_ = 0;
};

double MeasureCpuUs(int times, const std::function<void()>& step) {
  const double begin = CpuUs();
  for (int i = 0; i < times; ++i) step();
  return (CpuUs() - begin) / times;
}

void MeasureEntry() {
  std::vector<Point> task_us;
  std::vector<Point> heartbeat_us;
  std::vector<Point> bytes;
  std::vector<Point> tick_us;
  for (const int workers : {10, 100, 300, 1000, 3000}) {
    const double before = BytesInUse();
    EntryBench bench(workers);
    bytes.push_back({static_cast<double>(workers), BytesInUse() - before});
    task_us.push_back({static_cast<double>(workers),
                       MeasureCpuUs(2000, [&] { bench.RunTask(); })});
    const int rounds = 20'000 / workers + 1;
    heartbeat_us.push_back(
        {static_cast<double>(workers), MeasureCpuUs(rounds, [&] {
                                         bench.ReceiveHeartbeats(workers);
                                       }) / workers});
    tick_us.push_back({static_cast<double>(workers), MeasureCpuUs(50, [&] {
                         bench.Advance(Duration(250));
                       })});
  }
  PrintFit("entry: one task, by workers linked", "us", task_us);
  PrintFit("entry: one heartbeat received, by workers linked", "us",
           heartbeat_us);
  PrintFit("entry: one round of heartbeats sent, by workers linked", "us",
           tick_us);
  PrintFit("entry: memory, by workers linked", "bytes", bytes);
  std::vector<Point> open_bytes;
  for (const int tasks : {1000, 3000, 10'000}) {
    EntryBench bench(10);
    const double before = BytesInUse();
    bench.SubmitUnansweredTasks(tasks);
    open_bytes.push_back({static_cast<double>(tasks), BytesInUse() - before});
  }
  PrintFit("entry: memory, by open one-task jobs", "bytes", open_bytes);
}

void MeasureKeyTable() {
  std::vector<Point> bytes;
  std::vector<Point> us;
  std::vector<Point> body;
  for (const int keys : {1000, 10'000, 100'000}) {
    Random random(1);
    KeyTable table({}, random);
    std::vector<KeyClaim> claims;
    for (int i = 0; i < keys; ++i) {
      claims.push_back({IdempotencyKey("key-of-a-usual-length-" +
                                       std::to_string(1'000'000 + i)),
                        JobId{Incarnation(0x123456789abcdefULL),
                              static_cast<std::uint64_t>(i)},
                        0xfedcba9876543210ULL});
    }
    const std::string text = EncodeClaims(claims);
    body.push_back(
        {static_cast<double>(keys), static_cast<double>(text.size())});
    LogBatch batch;
    batch.first = LogOffset(1);
    batch.next = LogOffset(2);
    batch.records.push_back({LogOffset(1), RecordId("r"), Duration(0), text});
    const double before = BytesInUse();
    const double begin = CpuUs();
    table.Read(batch, TimePoint(1), TimePoint(1));
    us.push_back({static_cast<double>(keys), CpuUs() - begin});
    bytes.push_back({static_cast<double>(keys), BytesInUse() - before});
  }
  PrintFit("claims: reading, by claims", "us", us);
  PrintFit("claims: memory, by keys held", "bytes", bytes);
  PrintFit("claims: record size, by claims", "bytes", body);
}

void MeasureConfiguration() {
  std::vector<Point> us;
  std::vector<Point> size;
  for (const int services : {10, 100, 1000}) {
    const ConfigurationState state = MakeConfigurationState(services);
    us.push_back({static_cast<double>(services), MeasureCpuUs(20, [&] {
                    Configuration configuration;
                    configuration.Adopt(state);
                  })});
    const Frame frame{ConfigurationPush{state}};
    size.push_back({static_cast<double>(services),
                    static_cast<double>(EncodeFrame(frame).size())});
  }
  PrintFit("text: putting in force, by services", "us", us);
  PrintFit("text: bytes pushed to one peer, by services", "bytes", size);
}

void MeasureCodec() {
  Heartbeat heartbeat;
  heartbeat.sent_at = TimePoint(123'456'789);
  heartbeat.echo = TimePoint(123'456'700);
  heartbeat.version = Version(4711);
  heartbeat.confirmed_age = Duration(321);
  heartbeat.load = WorkerLoad{};
  Offer offer;
  offer.attempt = AttemptId{Incarnation(0x123456789abcdefULL), 123'456};
  offer.service = ServiceName("lamp-lookup");
  const Assignment assignment{JobId{offer.attempt.entry, 1234}, 1,
                              std::string(100, 'x')};
  TaskResult result;
  result.attempt = offer.attempt;
  result.outcome.body = std::string(100, 'x');
  const std::vector<Message> messages = {
      heartbeat,
      offer,
      OfferAck{offer.attempt, Duration(1), {}},
      Ready{offer.attempt, {}},
      Grant{offer.attempt, assignment},
      result,
      ResultAck{offer.attempt}};
  for (const Message& message : messages) {
    const Frame frame{message};
    const std::string bytes = EncodeFrame(frame);
    const double encode =
        MeasureCpuUs(20'000, [&] { (void)EncodeFrame(frame); });
    const double decode =
        MeasureCpuUs(20'000, [&] { (void)DecodeFrame(bytes); });
    std::printf(
        "codec: %s | %zu bytes | %.2f us to encode | %.2f us to decode\n",
        std::string(MessageName(message)).c_str(), bytes.size(), encode,
        decode);
  }
}

void MeasureAgent() {
  AgentOptions options;
  options.incarnation = Incarnation(7);
  options.profile.id = WorkerId("worker");
  options.profile.data_centre = DataCentreName("north");
  options.profile.services = {ServiceName("s0")};
  options.profile.slots = 8;
  options.profile.capacity = Resources{32, 64000, 0};
  std::vector<Point> tick;
  for (const int entries : {1, 2, 4, 8}) {
    AgentNode node(options);
    TimePoint now(1000);
    for (int i = 1; i <= entries; ++i) {
      const LinkId link(static_cast<std::uint64_t>(i));
      node.OnLinkUp(link, now);
      Hello hello;
      hello.role = ProcessRole::kEntry;
      hello.incarnation = Incarnation(static_cast<std::uint64_t>(i));
      node.OnMessage(link, hello, now);
      node.OnMessage(link, ConfigurationPush{MakeConfigurationState(10)}, now);
    }
    tick.push_back({static_cast<double>(entries), MeasureCpuUs(2000, [&] {
                      // One second: 4 heartbeats each way and 100 ticks.
                      for (int beat = 0; beat < 4; ++beat) {
                        for (int i = 1; i <= entries; ++i) {
                          Heartbeat heartbeat;
                          heartbeat.sent_at = now;
                          heartbeat.echo = now;
                          heartbeat.version = Version(1);
                          heartbeat.confirmed_age = Duration(1);
                          node.OnMessage(LinkId(static_cast<std::uint64_t>(i)),
                                         heartbeat, now);
                        }
                        for (int i = 0; i < 25; ++i) {
                          now = now + Duration(10);
                          node.OnTick(now);
                        }
                        (void)node.TakeActions();
                      }
                    })});
  }
  PrintFit("agent: one idle second, by entries linked", "us", tick);
}

}  // namespace

int main() {
  std::printf("what | fit | unit | residual | points\n");
  MeasureEntry();
  MeasureKeyTable();
  MeasureConfiguration();
  MeasureAgent();
  MeasureCodec();
  return 0;
}
