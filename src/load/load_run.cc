#include "load/load_run.h"

#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace geranium {
namespace {

using Json = nlohmann::json;

std::string RequestTarget(WorkKind kind) {
  switch (kind) {
    case WorkKind::kLookup:
      return "/v1/services/lamp-lookup/requests";
    case WorkKind::kBooking:
      return "/v1/services/booking/requests";
    case WorkKind::kQuote:
      return "/v1/services/quote/requests";
    case WorkKind::kBatch:
      return "/v1/jobs";
  }
  return "/";
}

std::string TeamOf(const WorkItem& item) {
  return item.number % 3 == 0 ? "technicians" : "salons";
}

Json Payload(const WorkItem& item, std::size_t task) {
  return {{"run_ms", item.run_ms[task]}, {"id", item.TaskId(task)}};
}

bool HasId(const Json& answer, const std::string& id) {
  return answer.is_object() && answer.value("id", "") == id;
}

// True if the answer is complete and belongs to this request.
bool Matches(const WorkItem& item, const Json& answer) {
  if (item.kind != WorkKind::kBatch) return HasId(answer, item.TaskId(0));
  if (!answer.is_object() || !answer.contains("tasks")) return false;
  const Json& tasks = answer.at("tasks");
  if (tasks.size() != item.run_ms.size()) return false;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const Json body = Json::parse(tasks[i].value("body", ""), nullptr, false);
    if (!HasId(body, item.TaskId(i))) return false;
  }
  return true;
}

double MetricSum(const std::string& text, const std::string& name) {
  double sum = 0;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    const bool named =
        line.starts_with(name + " ") || line.starts_with(name + "{");
    if (!named) continue;
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

}  // namespace

LoadRun::LoadRun(LoadOptions options)
    : options_(std::move(options)),
      workload_(options_.workload),
      timer_(io_),
      http_(io_) {}

LoadReport LoadRun::Run() {
  const EntryCounters before = ScrapeEntries();
  begin_ms_ = SystemClock::PreciseMs();
  next_ms_ = begin_ms_;
  const auto seconds =
      static_cast<std::size_t>((options_.length.ms() + 999) / 1000 + 60);
  report_.work_by_second.assign(seconds, 0);
  ScrapeRunSecondsAfter(options_.warm_up, run_seconds_at_begin_);
  ScrapeRunSecondsAfter(options_.warm_up + options_.length,
                        run_seconds_at_end_);
  ScheduleNext();
  io_.run();
  const EntryCounters after = ScrapeEntries();
  EntryCounters& deltas = report_.entries;
  deltas.messages = after.messages - before.messages;
  deltas.wasted = after.wasted - before.wasted;
  deltas.grants = after.grants - before.grants;
  deltas.cpu_seconds = after.cpu_seconds - before.cpu_seconds;
  deltas.hedges = after.hedges - before.hedges;
  deltas.in_doubt = after.in_doubt - before.in_doubt;
  deltas.violations = after.violations - before.violations;
  report_.offered_slots = options_.offered_load;
  double done = 0;
  const auto within = static_cast<std::size_t>(options_.length.ms() / 1000);
  for (std::size_t i = 0; i < within; ++i) done += report_.work_by_second[i];
  report_.work_done_slots =
      done * 1000 / static_cast<double>(options_.length.ms());
  while (!report_.work_by_second.empty() &&
         report_.work_by_second.back() == 0) {
    report_.work_by_second.pop_back();
  }
  return report_;
}

void LoadRun::ScheduleNext() {
  next_ms_ += workload_.InterarrivalMs(options_.offered_load);
  const double end_ms = static_cast<double>(options_.warm_up.ms()) +
                        static_cast<double>(options_.length.ms());
  if (next_ms_ - begin_ms_ > end_ms) {
    // Idle connections would keep the event loop running.
    if (outstanding_ == 0) http_.CloseIdleConnections();
    return;
  }
  const double wait = std::max(0.0, next_ms_ - SystemClock::PreciseMs());
  timer_.expires_after(std::chrono::microseconds(std::llround(wait * 1000)));
  timer_.async_wait([this](const auto& error) {
    if (error) return;
    Submit(workload_.Next());
    ScheduleNext();
  });
}

HttpCall LoadRun::MakeCall(const WorkItem& item) {
  HttpCall call;
  call.address = options_.entries[next_entry_++ % options_.entries.size()];
  call.method = "POST";
  call.target = RequestTarget(item.kind);
  call.timeout = options_.timeout;
  call.headers["Geranium-Team"] = TeamOf(item);
  call.headers["Geranium-Deadline-Ms"] = std::to_string(options_.deadline.ms());
  if (!item.key.empty()) call.headers["Idempotency-Key"] = item.key;
  if (item.kind != WorkKind::kBatch) {
    call.body = Payload(item, 0).dump();
    return call;
  }
  Json tasks = Json::array();
  for (std::size_t i = 0; i < item.run_ms.size(); ++i) {
    tasks.push_back({{"payload", Payload(item, i)}});
  }
  call.body = Json{{"service", "batch"},
                   {"team", TeamOf(item)},
                   {"deadline_ms", options_.deadline.ms()},
                   {"tasks", std::move(tasks)}}
                  .dump();
  return call;
}

void LoadRun::Submit(const WorkItem& item) {
  const double sent_ms = next_ms_;
  const bool counted =
      sent_ms - begin_ms_ >= static_cast<double>(options_.warm_up.ms());
  ++outstanding_;
  if (counted) ++report_.kinds[static_cast<std::size_t>(item.kind)].sent;
  http_.Start(MakeCall(item),
              [this, item, sent_ms, counted](const HttpOutcome& outcome) {
                OnAnswer(item, sent_ms, counted, outcome);
                if (--outstanding_ == 0) http_.CloseIdleConnections();
              });
}

void LoadRun::OnAnswer(const WorkItem& item, double sent_ms, bool counted,
                       const HttpOutcome& outcome) {
  if (!counted) return;
  KindReport& report = report_.kinds[static_cast<std::size_t>(item.kind)];
  if (outcome.failure != HttpFailure::kNone) {
    ++report.no_answer;
    return;
  }
  const Json answer = Json::parse(outcome.response.body, nullptr, false);
  const bool is_object = answer.is_object();
  if (is_object && answer.contains("error")) {
    const Json& error = answer.at("error");
    const auto execution = error.value("execution", "");
    ++report.error_codes[error.value("code", "") + " " + execution];
    ++(execution == "not_run"        ? report.not_run
       : execution == "may_have_run" ? report.may_have_run
                                     : report.ran_failed);
    return;
  }
  if (!Matches(item, answer)) ++report.mismatched;
  CountComplete(item, sent_ms, report);
}

void LoadRun::CountComplete(const WorkItem& item, double sent_ms,
                            KindReport& report) {
  const double now_ms = SystemClock::PreciseMs();
  const double ideal_ms = item.LongestMs() + options_.round_trip_ms;
  ++report.complete;
  report.ratios.push_back((now_ms - sent_ms) / ideal_ms);
  report.overheads_ms.push_back(now_ms - sent_ms - ideal_ms);
  const double since =
      now_ms - begin_ms_ - static_cast<double>(options_.warm_up.ms());
  const auto second = static_cast<std::size_t>(std::max(0.0, since) / 1000);
  if (second < report_.work_by_second.size()) {
    report_.work_by_second[second] += item.TotalMs() / 1000.0;
  }
}

// Scraped while the load runs, so that work finished later is not counted.
void LoadRun::ScrapeRunSecondsAfter(Duration after, double& sum) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(after.ms()));
  timer->async_wait([this, timer, &sum](const auto& error) {
    if (error) return;
    for (const std::string& address : options_.entries) {
      HttpCall call;
      call.address = address;
      call.target = "/metrics";
      call.use_new_connection = true;
      http_.Start(std::move(call), [&sum](const HttpOutcome& outcome) {
        sum += MetricSum(outcome.response.body, "geranium_run_seconds_total");
      });
    }
  });
}

EntryCounters LoadRun::ScrapeEntries() const {
  EntryCounters sums;
  for (const std::string& address : options_.entries) {
    HttpCall call;
    call.address = address;
    call.target = "/metrics";
    const std::string text = Fetch(call).response.body;
    sums.messages += MetricSum(text, "geranium_task_messages_sent_total") +
                     MetricSum(text, "geranium_task_messages_received_total");
    sums.wasted += MetricSum(text, "geranium_task_messages_wasted_total");
    sums.grants += MetricSum(text, "geranium_grants_total");
    sums.run_seconds += MetricSum(text, "geranium_run_seconds_total");
    sums.cpu_seconds += MetricSum(text, "process_cpu_seconds_total");
    sums.hedges += MetricSum(text, "geranium_hedges_total");
    sums.in_doubt += MetricSum(text, "geranium_in_doubt_total");
    sums.violations += MetricSum(text, "geranium_invariant_violations_total");
  }
  return sums;
}

}  // namespace geranium
