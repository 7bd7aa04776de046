#ifndef GERANIUM_WORKER_ACTIONS_H_
#define GERANIUM_WORKER_ACTIONS_H_

#include <string>
#include <variant>

#include "base/clock.h"
#include "base/ids.h"
#include "link/actions.h"

namespace geranium {

/// Calls the backend server once.
struct StartCall {
  AttemptId attempt;
  JobId job;
  std::uint32_t task = 0;
  std::string path;
  std::string payload;
  Duration timeout;
  bool repeatable = false;  ///< Allowed to use a kept-alive connection.
};

struct AbortCall {
  AttemptId attempt;
};

/// Sends a read-only health probe to the backend server at `path`.
struct ProbeBackend {
  std::string path;
  Duration timeout;
};

/// Side effects that AgentNode requests from its host process.
using AgentAction =
    std::variant<SendMessage, ConnectEntry, StartCall, AbortCall, ProbeBackend>;

}  // namespace geranium

#endif  // GERANIUM_WORKER_ACTIONS_H_
