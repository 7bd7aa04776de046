#ifndef GERANIUM_TIMELINE_LOG_LINES_H_
#define GERANIUM_TIMELINE_LOG_LINES_H_

#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "timeline/timeline.h"

namespace geranium {

/// Reads a line of `key=value` pairs as the programs log it; nothing if it is
/// none. What stands before `time=` is passed over.
std::optional<TimelineEvent> ReadLogLine(const std::string& line);

/// The events of one job in the logs of any number of processes, in an order
/// in which nothing stands before its cause: an entry admits a job before it
/// places it, and a run ends at its agent after that and before the entry
/// answers. Clocks of processes may differ.
std::vector<TimelineEvent> TraceJob(const std::vector<std::istream*>& logs,
                                    const std::string& job);

}  // namespace geranium

#endif  // GERANIUM_TIMELINE_LOG_LINES_H_
