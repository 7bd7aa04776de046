#ifndef GERANIUM_TIMELINE_LOG_LINES_H_
#define GERANIUM_TIMELINE_LOG_LINES_H_

#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "timeline/timeline.h"

namespace geranium {

/// Parses a log line of `key=value` pairs; nullopt if it is not one. Anything
/// before `time=` is ignored.
std::optional<TimelineEvent> ReadLogLine(const std::string& line);

/// The events of one job in the logs of any number of processes, in causal
/// order even if their clocks differ: the entry admits the job, then places it,
/// then a run ends at its agent, then the entry answers.
std::vector<TimelineEvent> TraceJob(const std::vector<std::istream*>& logs,
                                    const std::string& job);

}  // namespace geranium

#endif  // GERANIUM_TIMELINE_LOG_LINES_H_
