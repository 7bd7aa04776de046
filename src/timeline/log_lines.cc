#include "timeline/log_lines.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <string_view>
#include <utility>

namespace geranium {
namespace {

constexpr double kMsPerSecond = 1000;

// Events that an entry logs of a job before its runs and after them, and events
// that agents log of the runs.
constexpr std::array<std::string_view, 2> kBeforeRuns = {"job_admitted",
                                                         "job_placed"};
constexpr std::array<std::string_view, 2> kRuns = {"run_done", "run_not_done"};
constexpr std::string_view kReturned = "attempt_returned";
constexpr std::array<std::string_view, 2> kAfterRuns = {"job_completed",
                                                        "job_not_completed"};

template <std::size_t kSize>
bool IsOneOf(const std::array<std::string_view, kSize>& kinds,
             const std::string& kind) {
  return std::ranges::find(kinds, kind) != kinds.end();
}

using Pair = std::pair<std::string, std::string>;

// Values with spaces are quoted; `\` escapes quotes and itself.
std::vector<Pair> ReadPairs(const std::string& line, std::size_t at) {
  std::vector<Pair> pairs;
  while (at < line.size()) {
    const std::size_t equals = line.find('=', at);
    if (equals == std::string::npos) break;
    Pair pair{line.substr(at, equals - at), ""};
    at = equals + 1;
    const bool quoted = at < line.size() && line[at] == '"';
    if (quoted) ++at;
    while (at < line.size() && line[at] != (quoted ? '"' : ' ')) {
      if (quoted && line[at] == '\\' && at + 1 < line.size()) ++at;
      pair.second += line[at++];
    }
    at = line.find_first_not_of(quoted ? "\" " : " ", at);
    pairs.push_back(std::move(pair));
    if (at == std::string::npos) break;
  }
  return pairs;
}

std::optional<double> ReadTime(const std::string& text) {
  std::tm time{};
  double seconds = 0;
  const int read = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%lfZ",
                               &time.tm_year, &time.tm_mon, &time.tm_mday,
                               &time.tm_hour, &time.tm_min, &seconds);
  if (read != 6) return std::nullopt;
  time.tm_year -= 1900;
  time.tm_mon -= 1;
  return (static_cast<double>(timegm(&time)) + seconds) * kMsPerSecond;
}

// Task names start with the job id.
std::string JobOfTask(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::optional<double> FirstPlacementMs(
    const std::vector<TimelineEvent>& events) {
  std::optional<double> first_placed_ms;
  for (const TimelineEvent& event : events) {
    if (event.kind != kBeforeRuns[1]) continue;
    first_placed_ms =
        std::min(first_placed_ms.value_or(event.at_ms), event.at_ms);
  }
  return first_placed_ms;
}

// Moves runs that precede the job's first placement to that time, and an answer
// that precedes the last run to the time of that run.
void ApplyCausality(std::vector<TimelineEvent>& events,
                    std::optional<double> first_placed_ms) {
  double last_run = 0;
  for (TimelineEvent& event : events) {
    if (!IsOneOf(kRuns, event.kind)) continue;
    event.at_ms = std::max(event.at_ms, first_placed_ms.value_or(event.at_ms));
    last_run = std::max(last_run, event.at_ms);
  }
  for (TimelineEvent& event : events) {
    if (event.kind == kAfterRuns[0]) {
      event.at_ms = std::max(event.at_ms, last_run);
    }
  }
}

// Order of events within a millisecond. A task is placed again only after its
// run was returned. Events of equal rank from one process keep their order.
int TieBreakRank(const TimelineEvent& event,
                 std::optional<double> first_placed_ms) {
  const bool again = event.kind == kBeforeRuns[1] && first_placed_ms &&
                     event.at_ms > *first_placed_ms;
  if (IsOneOf(kBeforeRuns, event.kind) && !again) return 0;
  if (IsOneOf(kAfterRuns, event.kind)) return 3;
  return again || event.kind == kReturned ? 2 : 1;
}

}  // namespace

std::optional<TimelineEvent> ReadLogLine(const std::string& line) {
  const std::size_t begin = line.find("time=");
  if (begin == std::string::npos) return std::nullopt;
  TimelineEvent event;
  std::optional<double> time;
  for (const auto& [key, value] : ReadPairs(line, begin)) {
    if (key == "time") {
      time = ReadTime(value);
    } else if (key == "instance") {
      event.process = value;
    } else if (key == "event") {
      event.kind = value;
    } else if (key == "job") {
      event.job = value;
    } else if (key == "task" && event.job.empty()) {
      event.job = JobOfTask(value);
      event.attempt = value;
    } else if (key != "level" && key != "program") {
      event.detail += (event.detail.empty() ? "" : " ") + key + "=" + value;
    }
  }
  if (!time || event.kind.empty() || event.process.empty()) return std::nullopt;
  event.at_ms = *time;
  return event;
}

std::vector<TimelineEvent> TraceJob(const std::vector<std::istream*>& logs,
                                    const std::string& job) {
  std::vector<TimelineEvent> events;
  std::map<std::string, std::uint64_t> lines;
  for (std::istream* log : logs) {
    for (std::string line; std::getline(*log, line);) {
      auto event = ReadLogLine(line);
      if (!event || event->job != job) continue;
      event->sequence = ++lines[event->process];
      events.push_back(std::move(*event));
    }
  }
  const std::optional<double> first_placed_ms = FirstPlacementMs(events);
  ApplyCausality(events, first_placed_ms);
  std::stable_sort(
      events.begin(), events.end(),
      [&](const TimelineEvent& a, const TimelineEvent& b) {
        return std::pair(a.at_ms, TieBreakRank(a, first_placed_ms)) <
               std::pair(b.at_ms, TieBreakRank(b, first_placed_ms));
      });
  return events;
}

}  // namespace geranium
