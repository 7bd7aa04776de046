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

/// What `geraniumctl status` shows of one entry: itself, its workers and how
/// each service stands in each data centre.
nlohmann::json EntryStatus(const EntryNode& node, TimePoint now);
nlohmann::json AgentStatus(const AgentNode& node, TimePoint now);

/// Events after a sequence number, with what a time line needs to place them.
nlohmann::json EntryEvents(const EntryNode& node, std::uint64_t after,
                           TimePoint now);
nlohmann::json AgentEvents(const AgentNode& node, std::uint64_t after,
                           TimePoint now);

/// Reads a record that was handed over by an operator's command after it had
/// read it back from the log.
Result<LogBatch> ParsePushedRecord(const std::string& body);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_OPERATOR_API_H_
