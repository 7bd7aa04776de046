#ifndef GERANIUM_ENTRY_STEP_ACTIONS_H_
#define GERANIUM_ENTRY_STEP_ACTIONS_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/ids.h"
#include "base/log_message.h"
#include "link/actions.h"

namespace geranium {

enum class StepAnswer {
  kCompleted,
  kFailed,   ///< A task ran out of attempts, or the job was cancelled.
  kRefused,  ///< No task of it has run or will run.
  kNoRoute,
  kUnsupported,  ///< As kRefused; a retry would be refused again.
  kAbandoned,    ///< It may have run; the entry no longer pursues it.
};

/// The value in logs and metrics.
constexpr std::string_view Name(StepAnswer answer) {
  switch (answer) {
    case StepAnswer::kCompleted:
      return "completed";
    case StepAnswer::kFailed:
      return "failed";
    case StepAnswer::kRefused:
      return "refused";
    case StepAnswer::kNoRoute:
      return "no_route";
    case StepAnswer::kUnsupported:
      return "unsupported";
    case StepAnswer::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

/// Answers the caller of a step job; sent once per submission.
struct AnswerStepJob {
  CallerHandle caller;
  StepAnswer answer = StepAnswer::kRefused;
  Duration retry_after;  ///< With kRefused: when to retry.
  std::string reason;
};

/// Side effects that a StepEntryNode asks its server to carry out.
using StepAction = std::variant<SendMessage, ConnectEntry, CloseLink,
                                AnswerStepJob, LogMessage>;

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_ACTIONS_H_
