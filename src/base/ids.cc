#include "base/ids.h"

#include <cstdio>

namespace geranium {
namespace {

std::string FormatId(Incarnation entry, std::uint64_t number) {
  return ToString(entry) + "-" + std::to_string(number);
}

}  // namespace

std::string ToString(Incarnation incarnation) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(incarnation.value()));
  return text;
}

std::string ToString(const JobId& id) { return FormatId(id.entry, id.number); }

std::string ToString(const AttemptId& id) {
  return FormatId(id.entry, id.number);
}

}  // namespace geranium
