#ifndef GERANIUM_ENTRY_ACTIONS_H_
#define GERANIUM_ENTRY_ACTIONS_H_

#include <string>
#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "contract/log.h"
#include "contract/task.h"
#include "link/actions.h"

namespace geranium {

/// Delivers the answer of a finished job; sent once per job.
struct AnswerJob {
  JobAnswer answer;
};

/// Side effects that a dispatcher requests from its owner.
using DispatchAction = std::variant<SendMessage, AnswerJob>;

/// Answers a waiting caller, with the job's answer or a refusal.
struct ReplyCaller {
  CallerHandle caller;
  Result<JobAnswer> reply;
};

/// Appends a record to a stream of the log service.
struct AppendRecord {
  LogStream stream = LogStream::kConfiguration;
  RecordId id;
  std::string body;
};

/// Side effects that an entry requests from its runtime.
using EntryAction =
    std::variant<SendMessage, ConnectEntry, ReplyCaller, AppendRecord>;

}  // namespace geranium

#endif  // GERANIUM_ENTRY_ACTIONS_H_
