#ifndef GERANIUM_RUNTIME_OPERATOR_API_H_
#define GERANIUM_RUNTIME_OPERATOR_API_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "contract/log.h"
#include "entry/entry_node.h"
#include "worker/agent_node.h"

namespace geranium {

/// An entry's part of `geraniumctl status`: the entry, its workers and the
/// status of each service in each data centre.
nlohmann::json EntryStatus(const EntryNode& node, TimePoint now);
nlohmann::json AgentStatus(const AgentNode& node, TimePoint now);

/// Events after a sequence number, with the clock data to order them in a
/// timeline.
nlohmann::json EntryEvents(const EntryNode& node, std::uint64_t after,
                           TimePoint now);
nlohmann::json AgentEvents(const AgentNode& node, std::uint64_t after,
                           TimePoint now);

/// Parses a log record that an operator's command pushes after it has read the
/// record back from the log.
Result<LogBatch> ParsePushedRecord(const std::string& body);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_OPERATOR_API_H_
