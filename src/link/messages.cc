#include "link/messages.h"

#include <array>

namespace geranium {
namespace {

constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
    "hello",
    "members",
    "heartbeat",
    "configuration_pull",
    "configuration_push",
    "offer",
    "offer_ack",
    "ready",
    "grant",
    "withdraw",
    "not_started",
    "cancel",
    "task_result",
    "result_ack",
    "leaving",
    "drain",
    "key_query",
    "key_reply"};

}  // namespace

std::string_view MessageName(const Message& message) {
  return kNames[message.index()];
}

}  // namespace geranium
