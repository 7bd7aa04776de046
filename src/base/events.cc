#include "base/events.h"

#include <array>
#include <utility>

namespace geranium {
namespace {

constexpr std::array<std::string_view, 20> kNames = {
    "submitted",      "offer_sent",      "offer_received", "ready_sent",
    "ready_received", "grant_sent",      "grant_received", "call_started",
    "call_ended",     "result_received", "answered",       "refused",
    "not_started",    "in_doubt",        "link_up",        "link_down",
    "configuration",  "freshness",       "health",         "leaving"};

}  // namespace

std::string_view Name(EventKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

void EventRing::Add(Event event) {
  event.sequence = next_sequence_++;
  events_.push_back(std::move(event));
  if (events_.size() > capacity_) events_.pop_front();
}

std::vector<Event> EventRing::After(std::uint64_t after) const {
  std::vector<Event> found;
  for (const Event& event : events_) {
    if (event.sequence > after) found.push_back(event);
  }
  return found;
}

}  // namespace geranium
