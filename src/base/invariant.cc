#include "base/invariant.h"

namespace geranium {
namespace {

constexpr std::array<std::string_view, InvariantMonitor::kInvariantCount>
    kNames = {"starts_at_most_once",
              "answer_complete_or_failed",
              "no_start_in_data_centre_out",
              "answer_belongs_to_request",
              "not_run_is_true",
              "non_idempotent_once",
              "leaving_gets_no_work",
              "shutdown_cuts_nothing",
              "configuration_never_reverts"};

std::size_t Index(Invariant invariant) {
  return static_cast<std::size_t>(invariant);
}

}  // namespace

std::string_view Name(Invariant invariant) { return kNames[Index(invariant)]; }

InvariantMonitor& InvariantMonitor::Global() {
  static InvariantMonitor monitor;
  return monitor;
}

bool InvariantMonitor::Check(Invariant invariant, bool holds,
                             std::string_view detail) {
  ++checks_[Index(invariant)];
  if (holds) return true;
  ++violations_[Index(invariant)];
  if (handler_) handler_(invariant, std::string(detail));
  return false;
}

std::uint64_t InvariantMonitor::checks(Invariant invariant) const {
  return checks_[Index(invariant)];
}

std::uint64_t InvariantMonitor::violations(Invariant invariant) const {
  return violations_[Index(invariant)];
}

void InvariantMonitor::Reset() {
  for (auto& count : checks_) count = 0;
  for (auto& count : violations_) count = 0;
}

bool CheckInvariant(Invariant invariant, bool holds, std::string_view detail) {
  return InvariantMonitor::Global().Check(invariant, holds, detail);
}

}  // namespace geranium
