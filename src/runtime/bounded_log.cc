#include "runtime/bounded_log.h"

#include <algorithm>
#include <string>
#include <utility>

#include "runtime/logging.h"

namespace geranium {

BoundedLog::BoundedLog() : sink_(LogChange) {}

void BoundedLog::Write(const LogMessage& note, TimePoint now) {
  constexpr std::int64_t kFull = kBurst * 1000;
  Budget& budget = budgets_[note.event];
  if (budget.filled != TimePoint::Never()) {
    const std::int64_t gained =
        std::clamp<std::int64_t>((now - budget.filled).ms() * kRate, 0, kFull);
    budget.millitokens = std::min(kFull, budget.millitokens + gained);
  }
  budget.filled = now;
  if (budget.millitokens < 1000) {
    ++budget.left_out;
    return;
  }
  budget.millitokens -= 1000;
  if (budget.left_out == 0) {
    sink_(note.level, note.event, note.fields);
    return;
  }
  LogFields fields = note.fields;
  fields.emplace_back("left_out_before",
                      std::to_string(std::exchange(budget.left_out, 0)));
  sink_(note.level, note.event, fields);
}

}  // namespace geranium
