#include "step_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace geranium::standins {
namespace {

constexpr Duration kTick{10};
constexpr Duration kRedial{60};
/// From an order to its arrival at the worker, and back.
constexpr Duration kCallDelay{1};
constexpr Duration kOrderTimeout{20};
constexpr Duration kAnnounceInterval{1500};
constexpr std::size_t kMostLogLines = 400;
const char kHost[] = "callers.example";
const char kService[] = "desk";

double LogNormal(Random& random, double mean, double spread) {
  std::normal_distribution<double> normal(-spread * spread / 2, spread);
  return mean * std::exp(normal(random.engine()));
}

}  // namespace

std::vector<LoadClass> UsersLoad(double factor) {
  LoadClass lookup;
  lookup.name = "lookup";
  lookup.per_second = 34.4 * factor;
  lookup.width = 8;
  lookup.work = Duration(60);
  LoadClass booking;
  booking.name = "booking";
  booking.priority = 2;
  booking.per_second = 6.25 * factor;
  booking.width = 4;
  booking.work = Duration(900);
  LoadClass quote;
  quote.name = "quote";
  quote.priority = 1;
  quote.per_second = 100 * factor;
  quote.width = 2;
  quote.work = Duration(200);
  return {lookup, booking, quote};
}

struct StepWorld::Agent {
  std::string name;
  std::unique_ptr<SizedWorker> worker;
  std::unique_ptr<WorkerSession> session;
  std::uint64_t life = 0;
  std::uint64_t worker_life = 0;
  bool alive = false;
  bool worker_alive = true;
  TimePoint frozen_until = TimePoint::Never();
  TimePoint next_tick;
  TimePoint next_announce;
};

struct StepWorld::Entry {
  std::unique_ptr<StepEntryNode> node;
  std::uint64_t life = 0;
  bool alive = false;
  TimePoint frozen_until = TimePoint::Never();
  TimePoint next_tick;
  std::map<CallerHandle, int> callers;
};

struct StepWorld::Job {
  LoadClass kind;
  StepJob spec;
  TimePoint asked;
  Duration goal;
  int entry = -1;
  std::uint64_t attempt = 0;
  bool resends = true;
  std::optional<TimePoint> completed;
  std::optional<TimePoint> answered;
  std::optional<StepAnswer> answer;
  bool refused = false;
  bool left = false;
  bool broken = false;    ///< A sending of it ended without an answer.
  bool hopeless = false;  ///< Its tasks always fail.
};

struct StepWorld::Wire {
  int agent = -1;  ///< The first end; -1 if it is an entry.
  int first_entry = -1;
  int entry = -1;  ///< The second end.
  std::uint64_t first_life = 0;
  std::uint64_t entry_life = 0;
};

StepWorld::StepWorld(StepWorldOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  for (const LoadClass& kind : options_.load) {
    (void)kind;
    next_arrival_.push_back(now_ + Duration(600));
  }
  for (int i = 0; i < options_.entries; ++i) {
    entries_.push_back(std::make_unique<Entry>());
  }
  for (int i = 0; i < options_.workers; ++i) {
    auto agent = std::make_unique<Agent>();
    agent->name = "agent-" + std::to_string(i);
    WorkerAnnouncement self;
    self.id = WorkerId("worker-" + std::to_string(i));
    self.service = ServiceName(kService);
    self.data_centre =
        DataCentreName("dc-" + std::to_string(i % options_.entries));
    self.labels = {"a",
                   "rack-" + std::to_string(i / options_.workers_per_rack)};
    self.capacity = options_.worker_size;
    self.born_ms = std::uint64_t{1000} + static_cast<std::uint64_t>(i);
    agent->worker =
        std::make_unique<SizedWorker>(self, [this](const TaskName& name) {
          const auto found = truths_.find(name.value());
          return found == truths_.end() ? TaskTruth{} : found->second;
        });
    agents_.push_back(std::move(agent));
  }
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
  for (int i = 0; i < options_.workers; ++i) StartAgent(i);
}

StepWorld::~StepWorld() = default;

void StepWorld::At(TimePoint when, std::function<void()> what) {
  events_.emplace(std::max(when, now_), std::move(what));
}

RouteTable StepWorld::MakeTable() const {
  RouteTable table;
  table.offset = LogOffset(static_cast<std::int64_t>(table_offset_));
  table.version = 1;
  for (const LoadClass& kind : options_.load) {
    Route route;
    route.name = kind.name;
    route.host = kHost;
    route.path_prefix = "/" + kind.name + "/";
    route.service = ServiceName(kService);
    route.priority = kind.priority;
    route.target_latency = kind.target_latency;
    route.slack = kind.slack;
    route.max_attempts = 2;
    table.routes.push_back(std::move(route));
  }
  for (const std::string& name : out_) {
    table.data_centres_out.emplace_back(name);
  }
  return table;
}

// ---- processes and links

void StepWorld::StartEntry(int index) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  StepEntryOptions options;
  options.id = EntryId("entry-" + std::to_string(index));
  options.incarnation = Incarnation(next_incarnation_++);
  options.link_address = "entry-" + std::to_string(index);
  options.scheduler = options_.scheduler;
  options.scheduler.incarnation = options.incarnation;
  options.scheduler.data_centre = DataCentreName("dc-" + std::to_string(index));
  entry.node = std::make_unique<StepEntryNode>(options);
  entry.alive = true;
  ++entry.life;
  entry.callers.clear();
  entry.node->OnRouteTable(MakeTable(), "operator", now_);
  for (int i = 0; i < options_.entries; ++i) {
    if (i != index) DialEntry(index, i);
  }
}

void StepWorld::StartAgent(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  WorkerSessionOptions options;
  options.name = agent.name;
  options.incarnation = Incarnation(next_incarnation_++);
  options.first_fence = static_cast<std::uint64_t>(now_.ms());
  agent.session = std::make_unique<WorkerSession>(options);
  agent.alive = true;
  ++agent.life;
  agent.next_announce = now_;
  for (int i = 0; i < options_.entries; ++i) Dial(index, i);
}

bool StepWorld::Blocked(int from, int to) const {
  return cuts_.contains({std::min(from, to), std::max(from, to)});
}

void StepWorld::Dial(int index, int entry_index) {
  const Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const Entry& entry = *entries_[static_cast<std::size_t>(entry_index)];
  const std::uint64_t life = agent.life;
  const bool reachable = agent.alive && entry.alive &&
                         now_ >= entry.frozen_until &&
                         now_ >= agent.frozen_until &&
                         !Blocked(options_.entries + index, entry_index);
  if (!reachable) {
    At(now_ + kRedial, [this, index, entry_index, life] {
      if (agents_[static_cast<std::size_t>(index)]->life == life) {
        Dial(index, entry_index);
      }
    });
    return;
  }
  const LinkId link(next_link_++);
  wires_[link] = Wire{index, -1, entry_index, agent.life, entry.life};
  agent.session->OnLinkUp(link, now_);
  entry.node->OnLinkUp(link, now_);
  DrainAgent(index);
  DrainEntry(entry_index);
}

void StepWorld::DialEntry(int from, int to) {
  const Entry& first = *entries_[static_cast<std::size_t>(from)];
  const Entry& second = *entries_[static_cast<std::size_t>(to)];
  const std::uint64_t life = first.life;
  if (!first.alive || !second.alive || Blocked(from, to)) {
    At(now_ + kRedial, [this, from, to, life] {
      if (entries_[static_cast<std::size_t>(from)]->life == life) {
        DialEntry(from, to);
      }
    });
    return;
  }
  const LinkId link(next_link_++);
  wires_[link] = Wire{-1, from, to, first.life, second.life};
  first.node->OnLinkUp(link, now_);
  second.node->OnLinkUp(link, now_);
  DrainEntry(from);
  DrainEntry(to);
}

void StepWorld::Break(LinkId link) {
  const auto found = wires_.find(link);
  if (found == wires_.end()) return;
  const Wire wire = found->second;
  wires_.erase(found);
  Entry& entry = *entries_[static_cast<std::size_t>(wire.entry)];
  if (entry.alive && entry.life == wire.entry_life) {
    entry.node->OnLinkDown(link, now_);
  }
  if (wire.agent >= 0) {
    Agent& agent = *agents_[static_cast<std::size_t>(wire.agent)];
    if (agent.alive && agent.life == wire.first_life) {
      agent.session->OnLinkDown(link, now_);
      At(now_ + kRedial, [this, wire, life = agent.life] {
        if (agents_[static_cast<std::size_t>(wire.agent)]->life == life) {
          Dial(wire.agent, wire.entry);
        }
      });
    }
    return;
  }
  Entry& first = *entries_[static_cast<std::size_t>(wire.first_entry)];
  if (!first.alive || first.life != wire.first_life) return;
  first.node->OnLinkDown(link, now_);
  At(now_ + kRedial, [this, wire, life = first.life] {
    if (entries_[static_cast<std::size_t>(wire.first_entry)]->life == life) {
      DialEntry(wire.first_entry, wire.entry);
    }
  });
}

void StepWorld::Deliver(LinkId link, bool to_second, const Message& message) {
  const auto found = wires_.find(link);
  if (found == wires_.end()) return;
  const Wire wire = found->second;
  const int first =
      wire.agent >= 0 ? options_.entries + wire.agent : wire.first_entry;
  if (Blocked(first, wire.entry)) {
    // Held up until the path is whole again.
    At(now_ + Duration(20),
       [this, link, to_second, message] { Deliver(link, to_second, message); });
    return;
  }
  const int entry_index = to_second ? wire.entry : wire.first_entry;
  if (!to_second && wire.agent >= 0) {
    Agent& agent = *agents_[static_cast<std::size_t>(wire.agent)];
    if (!agent.alive || agent.life != wire.first_life) return;
    if (now_ < agent.frozen_until) {
      At(agent.frozen_until, [this, link, to_second, message] {
        Deliver(link, to_second, message);
      });
      return;
    }
    agent.session->OnMessage(link, message, now_);
    DrainAgent(wire.agent);
    return;
  }
  Entry& entry = *entries_[static_cast<std::size_t>(entry_index)];
  const std::uint64_t life = to_second ? wire.entry_life : wire.first_life;
  if (!entry.alive || entry.life != life) return;
  if (now_ < entry.frozen_until) {
    At(entry.frozen_until,
       [this, link, to_second, message] { Deliver(link, to_second, message); });
    return;
  }
  entry.node->OnMessage(link, message, now_);
  entry.node->OnFrameEnd(now_);
  DrainEntry(entry_index);
}

void StepWorld::DrainEntry(int index) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  for (StepAction& action : entry.node->TakeActions()) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      const auto wire = wires_.find(send->link);
      if (wire == wires_.end()) continue;
      const bool to_second =
          wire->second.entry != index || wire->second.entry_life != entry.life;
      At(now_ + options_.link_delay,
         [this, link = send->link, to_second, message = send->message] {
           Deliver(link, to_second, message);
         });
    } else if (auto* answer = std::get_if<AnswerStepJob>(&action)) {
      TakeAnswer(index, *answer);
    } else if (auto* close = std::get_if<CloseLink>(&action)) {
      At(now_, [this, link = close->link] { Break(link); });
    } else if (auto* note = std::get_if<LogNote>(&action)) {
      std::string line = std::to_string(now_.ms()) + " entry-" +
                         std::to_string(index) + " " + note->event;
      for (const auto& [key, value] : note->fields) {
        line += " " + key + "=" + value;
      }
      log.push_back(std::move(line));
      if (log.size() > kMostLogLines) log.erase(log.begin());
    }
  }
}

void StepWorld::DrainAgent(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  for (SessionAction& action : agent.session->TakeActions()) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      At(now_ + options_.link_delay,
         [this, link = send->link, message = send->message] {
           Deliver(link, true, message);
         });
    } else if (auto* start = std::get_if<StartRun>(&action)) {
      CallWorker(index, *start);
    } else if (auto* stop = std::get_if<StopRun>(&action)) {
      CallWorker(index, *stop);
    } else if (auto* hold = std::get_if<HoldRuns>(&action)) {
      AnswerHold(index, agent.life, *hold, now_ + hold->wait);
    } else if (auto* close = std::get_if<CloseLink>(&action)) {
      At(now_, [this, link = close->link] { Break(link); });
    } else if (auto* note = std::get_if<LogNote>(&action)) {
      std::string line =
          std::to_string(now_.ms()) + " " + agent.name + " " + note->event;
      for (const auto& [key, value] : note->fields) {
        line += " " + key + "=" + value;
      }
      log.push_back(std::move(line));
      if (log.size() > kMostLogLines) log.erase(log.begin());
    }
  }
}

// ---- calls to workers

template <class Order>
void StepWorld::CallWorker(int index, const Order& order) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const std::uint64_t life = agent.life;
  const auto carry_out = [this, index, order]() {
    Agent& there = *agents_[static_cast<std::size_t>(index)];
    if constexpr (std::is_same_v<Order, StartRun>) {
      const OrderOutcome outcome = there.worker->Start(order, now_);
      if (outcome.reply == OrderReply::kAccepted) NoteStart(order.run);
      CheckWorkers();
      return outcome;
    } else {
      return there.worker->Stop(order, now_);
    }
  };
  const auto answer = [this, index, life, order](const OrderOutcome& outcome) {
    Agent& there = *agents_[static_cast<std::size_t>(index)];
    if (!there.alive || there.life != life) return;
    if constexpr (std::is_same_v<Order, StartRun>) {
      there.session->OnStartEnded(order.run, outcome, now_);
    } else {
      there.session->OnStopEnded(order.run, outcome, now_);
    }
    DrainAgent(index);
  };
  const bool unanswered = random_.Chance(agent.worker->faults().unanswered);
  if (!agent.worker_alive || agent.worker->faults().silent || unanswered) {
    At(now_ + kOrderTimeout, [answer] { answer(OrderOutcome{}); });
    if (!agent.worker_alive || !unanswered) return;
    const Duration late(2000 +
                        static_cast<std::int64_t>(random_.Below(10'000)));
    At(now_ + late, [this, index, carry_out] {
      if (agents_[static_cast<std::size_t>(index)]->worker_alive) carry_out();
    });
    return;
  }
  At(now_ + kCallDelay, [this, carry_out, answer] {
    const OrderOutcome outcome = carry_out();
    At(now_ + kCallDelay, [answer, outcome] { answer(outcome); });
  });
}

void StepWorld::AnswerHold(int index, std::uint64_t life, const HoldRuns& order,
                           TimePoint until) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  if (agent.life != life || !agent.alive) return;
  const bool lost = !agent.worker_alive || agent.worker->faults().silent ||
                    random_.Chance(agent.worker->faults().unanswered / 20);
  if (lost) {
    At(until + kOrderTimeout, [this, index, life, number = order.number] {
      Agent& there = *agents_[static_cast<std::size_t>(index)];
      if (!there.alive || there.life != life) return;
      there.session->OnHoldEnded(number, HoldOutcome{}, now_);
      there.session->AfterEvents(now_);
      DrainAgent(index);
    });
    return;
  }
  agent.worker->Advance(now_);
  if (now_ < until && !agent.worker->HasEnd(order.acknowledged_end)) {
    At(now_ + Duration(2), [this, index, life, order, until] {
      AnswerHold(index, life, order, until);
    });
    return;
  }
  const HoldOutcome outcome = agent.worker->Hold(order, now_);
  At(std::max(now_ + kCallDelay, agent.frozen_until),
     [this, index, life, outcome, number = order.number] {
       Agent& there = *agents_[static_cast<std::size_t>(index)];
       if (!there.alive || there.life != life) return;
       there.session->OnHoldEnded(number, outcome, now_);
       there.session->AfterEvents(now_);
       DrainAgent(index);
     });
}

void StepWorld::CheckWorkers() {
  std::map<TaskName, std::string> running;
  for (const auto& agent : agents_) {
    if (!agent->worker_alive) continue;
    const std::string id = agent->worker->self().id.value();
    if (!agent->worker->self().capacity.Holds([&] {
          Resources used = agent->worker->in_use();
          used.cpu -= 1e-6;
          return used;
        }())) {
      Violate(id + " is filled beyond its capacity");
    }
    for (const TaskRun& run : agent->worker->running()) {
      const auto [other, is_new] = running.emplace(run.task, id);
      if (!is_new) {
        Violate("task " + run.task.value() + " runs twice, at " +
                other->second + " and " + id);
      }
    }
  }
}

void StepWorld::NoteStart(const TaskRun& run) {
  ++starts_;
  const std::string id = run.task.value().substr(0, run.task.value().find('.'));
  started_.insert(id);
  const Job& job = *jobs_[std::stoul(id, nullptr, 16) - 1];
  if (job.refused) Violate("a task of the refused job " + id + " starts");
}

std::vector<std::string> StepWorld::Unanswered() const {
  std::vector<std::string> list;
  for (const auto& job : jobs_) {
    if (job->answer) continue;
    list.push_back(job->kind.name + " " + job->spec.id.value() + " asked at " +
                   std::to_string(job->asked.ms()) + " ms, sending " +
                   std::to_string(job->attempt) + " to entry-" +
                   std::to_string(job->entry));
  }
  return list;
}

void StepWorld::Violate(const std::string& what) {
  violations_.push_back("at " + std::to_string(now_.ms()) + " ms: " + what);
}

// ---- callers

int StepWorld::Submit(int entry, const LoadClass& kind,
                      const std::string& rack) {
  const int number = static_cast<int>(jobs_.size());
  auto job = std::make_unique<Job>();
  job->kind = kind;
  job->asked = now_;
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", number + 1);
  job->spec.id = StepJobId(id);
  StepSpec step;
  step.count = static_cast<std::uint32_t>(
      std::clamp(std::lround(LogNormal(random_, kind.width, kind.spread)), 1L,
                 std::lround(4.0 * kind.width)));
  step.size = Resources{kind.cpu, 64, 0};
  const double work = std::min(
      LogNormal(random_, static_cast<double>(kind.work.ms()), kind.spread),
      4.0 * static_cast<double>(kind.work.ms()));
  step.estimate = Duration(std::max<std::int64_t>(
      1, std::lround(LogNormal(random_, work, kind.spread))));
  step.data_rack = rack;
  const bool hopeless = random_.Chance(kind.hopeless_jobs);
  job->hopeless = hopeless;
  double longest = 0;
  for (std::uint32_t t = 0; t < step.count; ++t) {
    const double own = std::max(1.0, LogNormal(random_, work, 0.15));
    longest = std::max(longest, own);
    TaskTruth truth;
    truth.work = Duration(std::lround(own));
    truth.size = step.size;
    truth.rack = rack;
    truth.fails = hopeless;
    truths_[std::string(id) + ".0.0." + std::to_string(t)] = truth;
  }
  job->goal = Duration(std::lround(kind.slack * longest)) + kind.target_latency;
  job->spec.steps.push_back(step);
  jobs_.push_back(std::move(job));
  SendJob(number, entry);
  return number;
}

void StepWorld::SendJob(int number, int index) {
  Job& job = *jobs_[static_cast<std::size_t>(number)];
  const std::uint64_t attempt = ++job.attempt;
  job.entry = index;
  At(now_ + options_.caller_delay, [this, number, index, attempt] {
    Job& sent = *jobs_[static_cast<std::size_t>(number)];
    if (sent.attempt != attempt || sent.left) return;
    Entry& entry = *entries_[static_cast<std::size_t>(index)];
    if (!entry.alive) {
      At(now_ + options_.resend, [this, number, index] {
        SendJob(number, (index + 1) % options_.entries);
      });
      return;
    }
    if (now_ < entry.frozen_until) {
      sent.attempt = attempt - 1;
      At(entry.frozen_until, [this, number, index] { SendJob(number, index); });
      return;
    }
    const CallerHandle caller(static_cast<std::uint64_t>(number) * 1000 +
                              attempt);
    entry.callers[caller] = number;
    StepSubmission submission;
    submission.host = kHost;
    submission.path = "/" + sent.kind.name + "/" + sent.spec.id.value();
    submission.job = sent.spec;
    submission.patience = options_.patience;
    entry.node->OnSubmission(caller, std::move(submission), now_);
    DrainEntry(index);
  });
}

void StepWorld::SubmitAgain(int job, int entry) {
  jobs_[static_cast<std::size_t>(job)]->broken = true;
  SendJob(job, entry);
}

void StepWorld::TakeAnswer(int index, const AnswerStepJob& answer) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  const auto found = entry.callers.find(answer.caller);
  if (found == entry.callers.end()) {
    Violate("an answer for nobody");
    return;
  }
  const int number = found->second;
  entry.callers.erase(found);
  Job& job = *jobs_[static_cast<std::size_t>(number)];
  // The answer to a sending that its caller has given up.
  if (job.entry != index || job.answer || job.left) return;
  if (answer.answer == StepAnswer::kAbandoned) {
    job.broken = true;
    At(now_ + options_.resend, [this, number, index] {
      SendJob(number, (index + 1) % options_.entries);
    });
    return;
  }
  job.answer = answer.answer;
  job.answered = now_ + options_.caller_delay;
  if (answer.answer == StepAnswer::kCompleted) job.completed = job.answered;
  job.refused = answer.answer == StepAnswer::kRefused;
  if (answer.answer == StepAnswer::kFailed && !job.hopeless) {
    Violate("job " + job.spec.id.value() +
            " is shown as failed: " + answer.reason);
  }
  // A refusal of a later sending says nothing of a sending that broke.
  if (job.refused && !job.broken && started_.contains(job.spec.id.value())) {
    Violate("job " + job.spec.id.value() + " is refused and has run");
  }
}

bool StepWorld::IsCompleted(int job) const {
  return jobs_[static_cast<std::size_t>(job)]->completed.has_value();
}

std::optional<StepAnswer> StepWorld::AnswerOf(int job) const {
  return jobs_[static_cast<std::size_t>(job)]->answer;
}

void StepWorld::Generate() {
  for (std::size_t k = 0; k < options_.load.size(); ++k) {
    const LoadClass& kind = options_.load[k];
    if (kind.per_second <= 0) continue;
    while (next_arrival_[k] <= now_) {
      std::exponential_distribution<double> gap(kind.per_second / 1000.0);
      next_arrival_[k] =
          next_arrival_[k] + Duration(std::lround(gap(random_.engine())));
      const int racks = (options_.workers + options_.workers_per_rack - 1) /
                        options_.workers_per_rack;
      const std::string rack =
          random_.Chance(kind.with_rack)
              ? "rack-" +
                    std::to_string(
                        kind.same_rack
                            ? 0
                            : random_.Below(static_cast<std::size_t>(racks)))
              : "";
      Submit(static_cast<int>(
                 random_.Below(static_cast<std::size_t>(options_.entries))),
             kind, rack);
    }
  }
}

// ---- time

void StepWorld::Run(TimePoint until, bool with_load) {
  with_load_ = with_load;
  while (now_ < until) Step();
}

void StepWorld::Step() {
  if (with_load_) Generate();
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Entry& entry = *entries_[i];
    if (!entry.alive || now_ < entry.frozen_until || now_ < entry.next_tick) {
      continue;
    }
    entry.next_tick = now_ + kTick;
    entry.node->OnTick(now_);
    DrainEntry(static_cast<int>(i));
  }
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    Agent& agent = *agents_[i];
    if (agent.worker_alive) agent.worker->Advance(now_);
    if (!agent.alive || now_ < agent.frozen_until || now_ < agent.next_tick) {
      continue;
    }
    agent.next_tick = now_ + kTick;
    if (agent.worker_alive && now_ >= agent.next_announce) {
      agent.next_announce = now_ + kAnnounceInterval;
      agent.session->OnAnnouncement(agent.worker->Announce(now_), now_);
    }
    agent.session->OnTick(now_);
    DrainAgent(static_cast<int>(i));
  }
  now_ = now_ + Duration(1);
}

// ---- faults

WorkerFaults& StepWorld::faults(int worker) {
  return agents_[static_cast<std::size_t>(worker)]->worker->faults();
}

SizedWorker& StepWorld::worker(int index) {
  return *agents_[static_cast<std::size_t>(index)]->worker;
}

const WorkerSession& StepWorld::session(int worker) const {
  return *agents_[static_cast<std::size_t>(worker)]->session;
}

const StepEntryNode& StepWorld::entry(int index) const {
  return *entries_[static_cast<std::size_t>(index)]->node;
}

void StepWorld::KillAgent(int worker, Duration down) {
  Agent& agent = *agents_[static_cast<std::size_t>(worker)];
  if (!agent.alive) return;
  agent.alive = false;
  std::vector<LinkId> links;
  for (const auto& [link, wire] : wires_) {
    if (wire.agent == worker) links.push_back(link);
  }
  for (const LinkId link : links) Break(link);
  At(now_ + down, [this, worker] { StartAgent(worker); });
}

void StepWorld::FreezeAgent(int worker, Duration span) {
  agents_[static_cast<std::size_t>(worker)]->frozen_until = now_ + span;
}

void StepWorld::RestartWorker(int worker, Duration down) {
  Agent& agent = *agents_[static_cast<std::size_t>(worker)];
  if (!agent.worker_alive) return;
  agent.worker_alive = false;
  At(now_ + down, [this, worker] {
    Agent& there = *agents_[static_cast<std::size_t>(worker)];
    there.worker->Restart(now_);
    there.worker_alive = true;
    there.next_announce = now_;
  });
}

void StepWorld::KillEntry(int index, Duration down) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  if (!entry.alive) return;
  DropCallers(index);
  entry.alive = false;
  std::vector<LinkId> links;
  for (const auto& [link, wire] : wires_) {
    if (wire.entry == index || wire.first_entry == index) {
      links.push_back(link);
    }
  }
  for (const LinkId link : links) Break(link);
  At(now_ + down, [this, index] { StartEntry(index); });
}

void StepWorld::ResetEntryLinks(int index) {
  std::vector<LinkId> links;
  for (const auto& [link, wire] : wires_) {
    const bool between_entries = wire.agent < 0;
    if (between_entries && (wire.entry == index || wire.first_entry == index)) {
      links.push_back(link);
    }
  }
  for (const LinkId link : links) Break(link);
}

void StepWorld::FreezeEntry(int index, Duration span) {
  entries_[static_cast<std::size_t>(index)]->frozen_until = now_ + span;
}

void StepWorld::DropCallers(int index) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  for (const auto& [caller, number] : entry.callers) {
    Job& job = *jobs_[static_cast<std::size_t>(number)];
    if (job.entry != index || job.answer) continue;
    job.broken = true;
    At(now_ + options_.resend, [this, number = number, index] {
      SendJob(number, (index + 1) % options_.entries);
    });
  }
}

void StepWorld::CutAgent(int worker, Duration span) {
  for (int i = 0; i < options_.entries; ++i) {
    CutEntries(i, options_.entries + worker, span);
  }
}

void StepWorld::CutEntries(int one, int other, Duration span) {
  const std::pair cut(std::min(one, other), std::max(one, other));
  cuts_.insert(cut);
  At(now_ + span, [this, cut] { cuts_.erase(cut); });
}

void StepWorld::TakeOut(const std::string& data_centre, bool out) {
  if (out) {
    out_.insert(data_centre);
  } else {
    out_.erase(data_centre);
  }
  ++table_offset_;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i]->alive) continue;
    entries_[i]->node->OnRouteTable(MakeTable(), "operator", now_);
    DrainEntry(static_cast<int>(i));
  }
}

void StepWorld::LeaveAgent(int worker) {
  agents_[static_cast<std::size_t>(worker)]->session->Leave(now_);
  DrainAgent(worker);
}

std::map<std::string, ClassReport> StepWorld::Report() const {
  std::map<std::string, ClassReport> reports;
  for (const auto& job : jobs_) {
    ClassReport& report = reports[job->kind.name];
    ++report.asked;
    if (job->completed) {
      const Duration took = *job->completed - job->asked;
      if (took <= job->goal) {
        ++report.in_goal;
      } else if (took <= job->goal * 3) {
        ++report.late;
      } else {
        ++report.useless;
      }
    } else if (job->refused) {
      ++report.refused;
      report.refused_wait_ms +=
          static_cast<double>((*job->answered - job->asked).ms());
    } else if (job->answer) {
      ++report.failed;
    } else {
      ++report.left;
    }
  }
  return reports;
}

double StepWorld::Worth() const {
  const auto reports = Report();
  double sum = 0;
  for (const auto& [name, report] : reports) sum += report.Worth();
  return reports.empty() ? 1 : sum / static_cast<double>(reports.size());
}

}  // namespace geranium::standins
