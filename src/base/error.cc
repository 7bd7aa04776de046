#include "base/error.h"

#include <array>
#include <utility>

namespace geranium {
namespace {

struct CodeInfo {
  std::string_view name;
  int http_status;
};

// In the order of ErrorCode.
constexpr std::array<CodeInfo, 19> kCodes = {{
    {"malformed", 400},      {"unknown_service", 404}, {"unknown_job", 404},
    {"key_conflict", 409},   {"key_in_doubt", 409},    {"too_large", 413},
    {"fits_no_worker", 422}, {"over_quota", 429},      {"overloaded", 503},
    {"unavailable", 503},    {"log_outage", 503},      {"deadline", 504},
    {"cancelled", 409},      {"in_doubt", 502},        {"backend_failed", 502},
    {"conflict", 409},       {"invalid_text", 400},    {"invalid_setting", 400},
    {"connection", 502},
}};

static_assert(kCodes.size() ==
              static_cast<std::size_t>(ErrorCode::kConnection) + 1);

}  // namespace

std::string_view Name(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kMayHaveRun:
      return "may_have_run";
    case Execution::kRanFailed:
      return "ran_failed";
  }
  return "may_have_run";
}

std::string_view Name(ErrorCode code) {
  return kCodes[static_cast<std::size_t>(code)].name;
}

int HttpStatus(ErrorCode code) {
  return kCodes[static_cast<std::size_t>(code)].http_status;
}

}  // namespace geranium
