#include "step_simulator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "step_simulator_parts.h"

namespace geranium::standins {
namespace {

/// Lines of `recent_log`.
constexpr std::size_t kMaxLogLines = 400;
/// Separates the random numbers of calls from those of the load.
constexpr std::uint64_t kCallSeedOffset = 1'000'003;
constexpr std::uint64_t kCallerSeedOffset = 2'000'003;
constexpr Duration kTick{10};
constexpr Duration kAnnounceInterval{1500};

double LogNormal(Random& random, double mean, double spread) {
  std::normal_distribution<double> normal(-spread * spread / 2, spread);
  return mean * std::exp(normal(random.engine()));
}

}  // namespace

std::vector<LoadClass> ReferenceLoad(double factor) {
  LoadClass lookup;
  lookup.name = "lookup";
  lookup.jobs_per_second = 34.4 * factor;
  lookup.mean_tasks = 8;
  lookup.mean_work = Duration(60);
  LoadClass booking;
  booking.name = "booking";
  booking.priority = 2;
  booking.jobs_per_second = 6.25 * factor;
  booking.mean_tasks = 4;
  booking.mean_work = Duration(900);
  LoadClass quote;
  quote.name = "quote";
  quote.priority = 1;
  quote.jobs_per_second = 100 * factor;
  quote.mean_tasks = 2;
  quote.mean_work = Duration(200);
  return {lookup, booking, quote};
}

std::vector<LoadClass> LargeTaskLoad(double factor) {
  std::vector<LoadClass> load = ReferenceLoad(factor * 1.125);
  for (LoadClass& kind : load) {
    kind.cpu = 7.6;
    kind.cpu_sigma = 0.2;
  }
  return load;
}

StepSimulator::StepSimulator(StepSimulatorOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      call_random_(options_.seed + kCallSeedOffset),
      caller_random_(options_.seed + kCallerSeedOffset) {
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
    self.capacity = options_.worker_capacity;
    self.started_ms = std::uint64_t{1000} + static_cast<std::uint64_t>(i);
    agent->worker =
        std::make_unique<SizedWorker>(self, [this](const TaskName& name) {
          const auto found = task_behaviours_.find(name.value());
          return found == task_behaviours_.end() ? TaskBehaviour{}
                                                 : found->second;
        });
    agents_.push_back(std::move(agent));
  }
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
  for (int i = 0; i < options_.workers; ++i) StartAgent(i);
}

StepSimulator::~StepSimulator() = default;

void StepSimulator::At(TimePoint when, std::function<void()> action) {
  events_.emplace(std::max(when, now_), std::move(action));
}

RouteTable StepSimulator::MakeRouteTable() const {
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
    route.slack_factor = kind.slack_factor;
    route.max_attempts = 2;
    table.routes.push_back(std::move(route));
  }
  for (const std::string& name : data_centres_out_) {
    table.data_centres_out.emplace_back(name);
  }
  return table;
}

// ---- callers

int StepSimulator::Submit(int entry, const LoadClass& kind,
                          const std::string& rack) {
  const int number = static_cast<int>(jobs_.size());
  auto job = std::make_unique<Job>();
  job->kind = kind;
  job->submitted_at = now_;
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", number + 1);
  job->spec.id = StepJobId(id);
  StepSpec step;
  step.count = static_cast<std::uint32_t>(
      std::clamp(std::lround(LogNormal(random_, kind.mean_tasks, kind.sigma)),
                 1L, std::lround(4.0 * kind.mean_tasks)));
  step.size = Resources{kind.cpu, 64, 0};
  if (kind.cpu_sigma > 0) {
    step.size.cpu =
        std::min(LogNormal(random_, kind.cpu, kind.cpu_sigma), 1.5 * kind.cpu);
  }
  const double work = std::min(
      LogNormal(random_, static_cast<double>(kind.mean_work.ms()), kind.sigma),
      4.0 * static_cast<double>(kind.mean_work.ms()));
  step.estimate = Duration(std::max<std::int64_t>(
      1, std::lround(LogNormal(random_, work, kind.sigma))));
  step.data_rack = rack;
  const bool always_fails = random_.Chance(kind.always_failing_share);
  job->always_fails = always_fails;
  job->crashes_workers =
      kind.crashing_share > 0 && random_.Chance(kind.crashing_share);
  double longest = 0;
  for (std::uint32_t t = 0; t < step.count; ++t) {
    const double task_work = std::max(1.0, LogNormal(random_, work, 0.15));
    longest = std::max(longest, task_work);
    TaskBehaviour behaviour;
    behaviour.work = Duration(std::lround(task_work));
    behaviour.size = step.size;
    behaviour.rack = rack;
    behaviour.fails = always_fails;
    behaviour.crashes_worker = job->crashes_workers && t == 0;
    task_behaviours_[std::string(id) + ".0.0." + std::to_string(t)] = behaviour;
  }
  job->objective =
      Duration(std::lround(kind.slack_factor * longest)) + kind.target_latency;
  job->spec.steps.push_back(step);
  jobs_.push_back(std::move(job));
  SendJob(number, entry);
  return number;
}

void StepSimulator::GenerateLoad() {
  for (std::size_t k = 0; k < options_.load.size(); ++k) {
    const LoadClass& kind = options_.load[k];
    if (kind.jobs_per_second <= 0) continue;
    while (next_arrival_[k] <= now_) {
      std::exponential_distribution<double> gap(kind.jobs_per_second / 1000.0);
      next_arrival_[k] =
          next_arrival_[k] + Duration(std::lround(gap(random_.engine())));
      const int racks = (options_.workers + options_.workers_per_rack - 1) /
                        options_.workers_per_rack;
      const std::string rack =
          random_.Chance(kind.rack_share)
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

void StepSimulator::RecordLogMessage(const std::string& process,
                                     const LogMessage& msg) {
  ++log_message_counts_[msg.event];
  std::string line =
      std::to_string(now_.ms()) + " " + process + " " + msg.event;
  for (const auto& [key, value] : msg.fields) line += " " + key + "=" + value;
  for (const auto& [key, value] : msg.fields) {
    if (key != "job" && key != "task") continue;
    if (value.size() < kJobIdLength) continue;  // An index.
    job_logs_[value.substr(0, kJobIdLength)].push_back(line);
  }
  recent_log.push_back(std::move(line));
  if (recent_log.size() > kMaxLogLines) recent_log.erase(recent_log.begin());
}

std::vector<std::string> StepSimulator::LogOfViolatedJobs() const {
  std::vector<std::string> lines;
  for (const std::string& job : violated_jobs_) {
    const auto found = job_logs_.find(job);
    if (found == job_logs_.end()) continue;
    lines.insert(lines.end(), found->second.begin(), found->second.end());
  }
  return lines;
}

int StepSimulator::CountLogMessages(const std::string& event) const {
  const auto found = log_message_counts_.find(event);
  return found == log_message_counts_.end() ? 0 : found->second;
}

// ---- time

void StepSimulator::Run(TimePoint until, bool with_load) {
  with_load_ = with_load;
  while (now_ < until) AdvanceOneMs();
}

void StepSimulator::AdvanceOneMs() {
  if (with_load_) GenerateLoad();
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto action = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    action();
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Entry& entry = *entries_[i];
    if (!entry.alive || now_ < entry.frozen_until || now_ < entry.next_tick) {
      continue;
    }
    entry.next_tick = now_ + kTick;
    entry.node->OnTick(now_);
    RunEntryActions(static_cast<int>(i));
  }
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    Agent& agent = *agents_[i];
    if (agent.worker_alive) {
      agent.worker->Advance(now_);
      if (agent.worker->HasCrashed()) CrashWorker(static_cast<int>(i));
    }
    if (!agent.alive || now_ < agent.frozen_until || now_ < agent.next_tick) {
      continue;
    }
    agent.next_tick = now_ + kTick;
    if (agent.worker_alive && now_ >= agent.next_announcement) {
      agent.next_announcement = now_ + kAnnounceInterval;
      Announce(static_cast<int>(i));
    }
    agent.session->OnTick(now_);
    RunAgentActions(static_cast<int>(i));
  }
  now_ = now_ + Duration(1);
}

std::map<std::string, ClassReport> StepSimulator::Report() const {
  std::map<std::string, ClassReport> reports;
  for (const auto& job : jobs_) {
    ClassReport& report = reports[job->kind.name];
    if (job->crashes_workers) {
      ++report.crashing;
      continue;
    }
    ++report.submitted;
    if (job->done_at) {
      const Duration latency = *job->done_at - job->submitted_at;
      if (latency <= job->objective) {
        ++report.within_objective;
      } else if (latency <= job->objective * 3) {
        ++report.late;
      } else {
        ++report.too_late;
      }
    } else if (job->refused) {
      ++report.refused;
      const Duration waited = *job->answered_at - job->submitted_at;
      const Duration round_trip = options_.caller_delay * 2;
      if (waited <= round_trip) ++report.refused_immediately;
      report.refused_wait_ms += static_cast<double>(waited.ms());
    } else if (job->answer) {
      ++report.failed;
    } else {
      ++report.unanswered;
    }
  }
  return reports;
}

std::vector<Duration> StepSimulator::Latencies(const std::string& kind) const {
  std::vector<Duration> latencies;
  for (const auto& job : jobs_) {
    if (job->kind.name != kind || !job->done_at) continue;
    latencies.push_back(*job->done_at - job->submitted_at);
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

double StepSimulator::Utility() const {
  const auto reports = Report();
  double sum = 0;
  for (const auto& [name, report] : reports) sum += report.Utility();
  return reports.empty() ? 1 : sum / static_cast<double>(reports.size());
}

}  // namespace geranium::standins
