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
    "key_reply",
    "worker_card",
    "worker_report",
    "start_task",
    "stop_task",
    "task_end",
    "task_end_ack",
    "attempt_list",
    "route_table_pull",
    "route_table_push",
    "jobs_accepted",
    "job_handover_request",
    "job_handed_over",
    "job_moved",
    "worker_crashed",
    "jobs_cancelled",
    "job_holders_query",
    "job_holders",
    "entries_heard",
    "entries_silent",
    "data_centre_update"};

}  // namespace

std::string_view MessageName(const Message& message) {
  return kNames[message.index()];
}

}  // namespace geranium
