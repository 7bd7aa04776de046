#ifndef GERANIUM_ENTRY_STEP_ACTIONS_H_
#define GERANIUM_ENTRY_STEP_ACTIONS_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/ids.h"
#include "base/log_note.h"
#include "link/actions.h"

namespace geranium {

enum class StepAnswer {
  kCompleted,
  kFailed,   ///< It ran and cannot be completed.
  kRefused,  ///< Nothing of it has run or will.
  kNoRoute,
  kUnsupported,  ///< As kRefused; sending it again does not help.
  kAbandoned,    ///< It may have run and is given up.
};

/// As in logs and metrics.
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

/// The one answer to a step job's caller.
struct AnswerStepJob {
  CallerHandle caller;
  StepAnswer answer = StepAnswer::kRefused;
  Duration retry_after;  ///< With kRefused: when it may be accepted.
  std::string reason;
};

/// What an entry's decisions on step jobs ask of the world.
using StepAction =
    std::variant<SendMessage, ConnectEntry, CloseLink, AnswerStepJob, LogNote>;

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_ACTIONS_H_
