#include "timeline/timeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <queue>
#include <set>

#include "runtime/http_client.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

// The steps of an attempt, each caused by the one before it.
constexpr std::array<std::string_view, 9> kAttemptSteps = {
    "offer_sent",     "offer_received", "ready_sent",
    "ready_received", "grant_sent",     "grant_received",
    "call_started",   "call_ended",     "result_received"};

Json FetchJson(const std::string& address, const std::string& target) {
  HttpCall call;
  call.address = address;
  call.target = target;
  const HttpOutcome outcome = Fetch(call);
  if (outcome.failure != HttpFailure::kNone) return nullptr;
  return Json::parse(outcome.response.body, nullptr, false);
}

// Correction to add to the clock of each process, by name. Entries know the
// offsets of processes linked to them; the first entry's clock is the
// reference.
std::map<std::string, double> ClockCorrections(
    const std::vector<Json>& streams) {
  std::map<std::string, double> corrections;
  for (const Json& stream : streams) {
    const auto own = stream.at("process").get<std::string>();
    if (corrections.empty()) corrections[own] = 0;
    if (!corrections.contains(own)) continue;
    for (const auto& [name, offset] : stream.at("clock_offsets_ms").items()) {
      corrections.emplace(name, corrections[own] - offset.get<double>());
    }
  }
  return corrections;
}

TimelineEvent ToEvent(const Json& stream, const Json& json, double correction) {
  TimelineEvent event;
  event.at_ms = json.at("at_ms").get<double>() + correction;
  event.process = stream.at("process").get<std::string>();
  event.data_centre = stream.at("data_centre").get<std::string>();
  event.sequence = json.at("sequence").get<std::uint64_t>();
  event.kind = json.at("kind").get<std::string>();
  event.job = json.value("job", "");
  event.attempt = json.value("attempt", "");
  event.peer = json.value("peer", "");
  event.detail = json.value("detail", "");
  return event;
}

/// Precedence constraints between events.
class CausalOrder {
 public:
  explicit CausalOrder(const std::vector<TimelineEvent>& events)
      : effects_(events.size()), pending_causes_(events.size(), 0) {
    OrderProcesses(events);
    OrderAttempts(events);
  }

  const std::vector<std::size_t>& effects(std::size_t event) const {
    return effects_[event];
  }
  /// Marks one cause of `event` as merged; true if it was the last.
  bool Resolve(std::size_t event) { return --pending_causes_[event] == 0; }
  bool HasNoPendingCause(std::size_t event) const {
    return pending_causes_[event] == 0;
  }

 private:
  void Add(std::size_t cause, std::size_t effect) {
    effects_[cause].push_back(effect);
    ++pending_causes_[effect];
  }

  // Events are grouped by process, each group in its own order.
  void OrderProcesses(const std::vector<TimelineEvent>& events) {
    for (std::size_t i = 1; i < events.size(); ++i) {
      if (events[i].process == events[i - 1].process) Add(i - 1, i);
    }
  }

  void OrderAttempts(const std::vector<TimelineEvent>& events) {
    std::map<std::string, std::map<std::size_t, std::size_t>> attempts;
    for (std::size_t i = 0; i < events.size(); ++i) {
      if (events[i].attempt.empty()) continue;
      const auto step = std::ranges::find(kAttemptSteps, events[i].kind);
      if (step == kAttemptSteps.end()) continue;
      attempts[events[i].attempt].emplace(
          static_cast<std::size_t>(step - kAttemptSteps.begin()), i);
    }
    for (const auto& [attempt, steps] : attempts) {
      for (auto item = std::next(steps.begin()); item != steps.end(); ++item) {
        const std::size_t cause = std::prev(item)->second;
        if (events[cause].process != events[item->second].process) {
          Add(cause, item->second);
        }
      }
    }
  }

  std::vector<std::vector<std::size_t>> effects_;
  std::vector<std::size_t> pending_causes_;
};

}  // namespace

std::vector<Json> FetchStreams(const std::vector<std::string>& entries,
                               std::vector<std::string>& missing) {
  std::vector<Json> streams;
  std::set<std::string> agents;
  for (const std::string& address : entries) {
    const Json status = FetchJson(address, "/v1/operator/status");
    const Json stream = FetchJson(address, "/v1/operator/events");
    if (!stream.is_object() || !status.is_object()) {
      missing.push_back(address);
      continue;
    }
    streams.push_back(stream);
    for (const Json& worker : status.at("workers")) {
      agents.insert(worker.at("http_address").get<std::string>());
    }
  }
  for (const std::string& address : agents) {
    const Json stream = FetchJson(address, "/v1/operator/events");
    if (stream.is_object()) {
      streams.push_back(stream);
    } else {
      missing.push_back(address);
    }
  }
  return streams;
}

// Topological sort: the earliest event whose causes are all merged comes next.
// An event that its clock puts before a cause is moved to the time of the
// cause.
std::vector<TimelineEvent> Merge(const std::vector<Json>& streams) {
  const auto corrections = ClockCorrections(streams);
  std::vector<TimelineEvent> events;
  for (const Json& stream : streams) {
    const auto found =
        corrections.find(stream.at("process").get<std::string>());
    const double correction = found == corrections.end() ? 0 : found->second;
    for (const Json& json : stream.at("events")) {
      events.push_back(ToEvent(stream, json, correction));
    }
  }
  CausalOrder order(events);
  using Item = std::pair<double, std::size_t>;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> ready;
  for (std::size_t i = 0; i < events.size(); ++i) {
    if (order.HasNoPendingCause(i)) ready.emplace(events[i].at_ms, i);
  }
  std::vector<TimelineEvent> merged;
  while (!ready.empty()) {
    const auto [at_ms, index] = ready.top();
    ready.pop();
    for (const std::size_t effect : order.effects(index)) {
      events[effect].at_ms = std::max(events[effect].at_ms, at_ms);
      if (order.Resolve(effect)) ready.emplace(events[effect].at_ms, effect);
    }
    merged.push_back(events[index]);
  }
  return merged;
}

bool Matches(const TimelineEvent& event, const TimelineFilter& filter) {
  const bool job = filter.job.empty() || event.job == filter.job;
  const bool process = filter.process.empty() ||
                       event.process == filter.process ||
                       event.peer == filter.process;
  const bool centre =
      filter.data_centre.empty() || event.data_centre == filter.data_centre;
  return job && process && centre;
}

std::string ToText(const TimelineEvent& event) {
  char head[128];
  std::snprintf(head, sizeof head, "%12.0f  %-12s  %-16s", event.at_ms,
                event.process.c_str(), event.kind.c_str());
  std::string text = head;
  if (!event.job.empty()) text += "  job " + event.job;
  if (!event.attempt.empty()) text += "  attempt " + event.attempt;
  if (!event.peer.empty()) text += "  at " + event.peer;
  if (!event.detail.empty()) text += "  (" + event.detail + ")";
  return text;
}

Json ToJson(const TimelineEvent& event) {
  return {{"at_ms", event.at_ms},      {"process", event.process},
          {"kind", event.kind},        {"data_centre", event.data_centre},
          {"job", event.job},          {"attempt", event.attempt},
          {"peer", event.peer},        {"detail", event.detail},
          {"sequence", event.sequence}};
}

}  // namespace geranium
