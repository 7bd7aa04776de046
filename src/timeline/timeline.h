#ifndef GERANIUM_TIMELINE_TIMELINE_H_
#define GERANIUM_TIMELINE_TIMELINE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"

namespace geranium {

/// An event of one process, with its time on the common clock.
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
/// agents they know. Adds the addresses that do not answer to `missing`.
std::vector<nlohmann::json> FetchStreams(
    const std::vector<std::string>& entries, std::vector<std::string>& missing);

/// Merges event streams. Times are corrected by the clock offsets that entries
/// have estimated. Events of a process keep their order, and a step of an
/// attempt never precedes the step that caused it.
std::vector<TimelineEvent> Merge(const std::vector<nlohmann::json>& streams);

bool Matches(const TimelineEvent& event, const TimelineFilter& filter);
std::string ToText(const TimelineEvent& event);
nlohmann::json ToJson(const TimelineEvent& event);

}  // namespace geranium

#endif  // GERANIUM_TIMELINE_TIMELINE_H_
