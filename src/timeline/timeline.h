#ifndef GERANIUM_TIMELINE_TIMELINE_H_
#define GERANIUM_TIMELINE_TIMELINE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"

namespace geranium {

/// One event of one process on the common clock of a time line.
struct TimelineEvent {
  double at_ms = 0;
  std::string process;
  std::string data_centre;
  std::uint64_t sequence = 0;
  std::string kind;
  std::string job;
  std::string attempt;
  std::string peer;
  std::string detail;
};

struct TimelineFilter {
  std::string job;
  std::string process;
  std::string data_centre;
};

/// Fetches the event streams of the entries at these HTTP addresses and of all
/// agents that they know. Processes that do not answer are named in `missing`.
std::vector<nlohmann::json> FetchStreams(
    const std::vector<std::string>& entries, std::vector<std::string>& missing);

/// Merges event streams. Clocks are set by the offsets that entries have
/// estimated; then no event stands before one of its own process that came
/// earlier, nor a step of an attempt before the step that caused it.
std::vector<TimelineEvent> Merge(const std::vector<nlohmann::json>& streams);

bool Matches(const TimelineEvent& event, const TimelineFilter& filter);
std::string ToText(const TimelineEvent& event);
nlohmann::json ToJson(const TimelineEvent& event);

}  // namespace geranium

#endif  // GERANIUM_TIMELINE_TIMELINE_H_
