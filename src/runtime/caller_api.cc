#include "runtime/caller_api.h"

#include <xxhash.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

namespace geranium {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxTasks = 1000;
constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kMaxTeamLength = 64;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr double kMaxCpu = 1024;
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
constexpr std::int64_t kMaxAccelerators = 64;

Error Malformed(const std::string& message) {
  return Error{ErrorCode::kMalformed, "read request", "caller", message,
               Execution::kNotRun};
}

void RejectUnknownMembers(const Json& json,
                          const std::set<std::string>& allowed,
                          const std::string& where) {
  if (!json.is_object())
    throw std::invalid_argument(where + " has to be a JSON object");
  for (const auto& [key, value] : json.items()) {
    if (allowed.contains(key)) continue;
    throw std::invalid_argument(where + " has an unknown member '" + key + "'");
  }
}

template <class T>
T ReadNumber(const Json& json, const std::string& key, T fallback, T min,
             T max) {
  if (!json.contains(key)) return fallback;
  const Json& value = json.at(key);
  const bool is_valid_type = std::is_floating_point_v<T>
                                 ? value.is_number()
                                 : value.is_number_integer();
  if (!is_valid_type || value.get<double>() < static_cast<double>(min) ||
      value.get<double>() > static_cast<double>(max)) {
    throw std::invalid_argument("'" + key + "' has to be a number from " +
                                std::to_string(min) + " to " +
                                std::to_string(max));
  }
  return value.get<T>();
}

std::string ReadNonEmptyString(const Json& json, const std::string& key) {
  if (!json.contains(key) || !json.at(key).is_string() ||
      json.at(key).get_ref<const std::string&>().empty()) {
    throw std::invalid_argument("'" + key + "' has to be a non-empty string");
  }
  return json.at(key).get<std::string>();
}

TeamName ReadTeam(const std::string& team) {
  if (team.size() > kMaxTeamLength) {
    throw std::invalid_argument("the length of 'team' exceeds the limit of " +
                                std::to_string(kMaxTeamLength));
  }
  return TeamName(team);
}

TaskClass ReadClass(const std::string& name) {
  const auto task_class = ParseTaskClass(name);
  if (!task_class) {
    throw std::invalid_argument("'class' has to be urgent, normal or bulk");
  }
  return *task_class;
}

// A string payload is passed to the backend server unchanged, any other value
// as JSON text.
TaskSpec ReadTask(const Json& json) {
  RejectUnknownMembers(json, {"payload", "size"}, "a task");
  TaskSpec task;
  if (json.contains("payload")) {
    const Json& payload = json.at("payload");
    task.payload =
        payload.is_string() ? payload.get<std::string>() : payload.dump();
  }
  if (!json.contains("size")) return task;
  const Json& size = json.at("size");
  RejectUnknownMembers(size, {"cpu", "memory_mb", "accelerators"}, "a size");
  task.size.cpu = ReadNumber(size, "cpu", 0.0, 0.0, kMaxCpu);
  task.size.memory_mb =
      ReadNumber<std::int64_t>(size, "memory_mb", 0, 0, kMaxMemoryMb);
  task.size.accelerators =
      ReadNumber<std::int64_t>(size, "accelerators", 0, 0, kMaxAccelerators);
  return task;
}

std::optional<IdempotencyKey> ReadKey(const HttpRequest& request) {
  const auto key = request.Header("idempotency-key");
  if (!key) return std::nullopt;
  if (key->empty() || key->size() > kMaxKeyLength) {
    throw std::invalid_argument("Idempotency-Key has to have 1 to " +
                                std::to_string(kMaxKeyLength) + " characters");
  }
  for (const char c : *key) {
    if (c > ' ' && c < '\x7f') continue;
    throw std::invalid_argument(
        "Idempotency-Key has to be printable ASCII without spaces");
  }
  return IdempotencyKey(*key);
}

std::uint64_t Fingerprint(const std::string& service,
                          const std::string& content) {
  const std::uint64_t seed = XXH64(service.data(), service.size(), 0);
  return XXH64(content.data(), content.size(), seed);
}

Submission ReadJob(const HttpRequest& request) {
  const Json json = Json::parse(request.body);
  RejectUnknownMembers(
      json, {"service", "tasks", "class", "team", "deadline_ms"}, "the job");
  Submission submission;
  submission.kind = SubmissionKind::kJob;
  submission.service = ServiceName(ReadNonEmptyString(json, "service"));
  if (json.contains("class")) {
    submission.task_class = ReadClass(ReadNonEmptyString(json, "class"));
  }
  if (json.contains("team")) {
    submission.team = ReadTeam(ReadNonEmptyString(json, "team"));
  }
  if (json.contains("deadline_ms")) {
    submission.deadline = Duration(
        ReadNumber<std::int64_t>(json, "deadline_ms", 0, 1, kMaxDeadlineMs));
  }
  if (!json.contains("tasks") || !json.at("tasks").is_array() ||
      json.at("tasks").empty() || json.at("tasks").size() > kMaxTasks) {
    throw std::invalid_argument("'tasks' has to be an array of 1 to " +
                                std::to_string(kMaxTasks) + " tasks");
  }
  for (const Json& task : json.at("tasks")) {
    submission.tasks.push_back(ReadTask(task));
  }
  submission.key = ReadKey(request);
  submission.fingerprint = Fingerprint("", json.dump());
  return submission;
}

Submission ReadServiceRequest(const HttpRequest& request,
                              const std::string& service) {
  Submission submission;
  submission.kind = SubmissionKind::kRequest;
  submission.service = ServiceName(service);
  submission.team = ReadTeam(request.Header("geranium-team").value_or(""));
  if (const auto name = request.Header("geranium-class")) {
    submission.task_class = ReadClass(*name);
  }
  if (const auto text = request.Header("geranium-deadline-ms")) {
    std::int64_t deadline = 0;
    const char* end = text->data() + text->size();
    const auto [stop, status] = std::from_chars(text->data(), end, deadline);
    if (status != std::errc() || stop != end || deadline < 1 ||
        deadline > kMaxDeadlineMs) {
      throw std::invalid_argument(
          "Geranium-Deadline-Ms has to be an integer from 1 to " +
          std::to_string(kMaxDeadlineMs));
    }
    submission.deadline = Duration(deadline);
  }
  submission.key = ReadKey(request);
  submission.fingerprint = Fingerprint(service, request.body);
  submission.tasks.push_back(TaskSpec{request.body, {}});
  return submission;
}

}  // namespace

Result<Submission> ParseJob(const HttpRequest& request) {
  try {
    return ReadJob(request);
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

Result<Submission> ParseServiceRequest(const HttpRequest& request,
                                       const std::string& service) {
  try {
    return ReadServiceRequest(request, service);
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

std::optional<JobId> ParseJobId(const std::string& text) {
  const auto dash = text.find('-');
  if (dash == std::string::npos) return std::nullopt;
  std::uint64_t entry = 0;
  std::uint64_t number = 0;
  const char* separator = text.data() + dash;
  const char* end = text.data() + text.size();
  const auto parsed_entry = std::from_chars(text.data(), separator, entry, 16);
  const auto parsed_number = std::from_chars(separator + 1, end, number);
  if (parsed_entry.ptr != separator || parsed_number.ptr != end)
    return std::nullopt;
  if (parsed_entry.ec != std::errc() || parsed_number.ec != std::errc())
    return std::nullopt;
  return JobId{Incarnation(entry), number};
}

}  // namespace geranium
