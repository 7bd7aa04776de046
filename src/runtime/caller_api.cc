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

constexpr std::size_t kMostTasks = 1000;
constexpr std::size_t kLongestKey = 128;
constexpr std::size_t kLongestTeam = 64;
constexpr std::int64_t kLongestDeadlineMs = 600'000;
constexpr double kMostCpu = 1024;
constexpr std::int64_t kMostMemoryMb = 16'777'216;
constexpr std::int64_t kMostAccelerators = 64;

Error Malformed(const std::string& message) {
  return Error{ErrorCode::kMalformed, "read request", "caller", message,
               Execution::kNotRun};
}

void AllowOnly(const Json& json, const std::set<std::string>& allowed,
               const std::string& where) {
  if (!json.is_object()) throw std::invalid_argument(where + " is no object");
  for (const auto& [key, value] : json.items()) {
    if (allowed.contains(key)) continue;
    throw std::invalid_argument(where + " has an unknown member '" + key + "'");
  }
}

template <class T>
T InRange(const Json& json, const std::string& key, T fallback, T least,
          T most) {
  if (!json.contains(key)) return fallback;
  const Json& value = json.at(key);
  const bool right_type = std::is_floating_point_v<T>
                              ? value.is_number()
                              : value.is_number_integer();
  if (!right_type || value.get<double>() < static_cast<double>(least) ||
      value.get<double>() > static_cast<double>(most)) {
    throw std::invalid_argument("'" + key + "' has to be a number from " +
                                std::to_string(least) + " to " +
                                std::to_string(most));
  }
  return value.get<T>();
}

std::string NonEmptyText(const Json& json, const std::string& key) {
  if (!json.contains(key) || !json.at(key).is_string() ||
      json.at(key).get_ref<const std::string&>().empty()) {
    throw std::invalid_argument("'" + key + "' has to be a non-empty string");
  }
  return json.at(key).get<std::string>();
}

TeamName ReadTeam(const std::string& team) {
  if (team.size() > kLongestTeam) {
    throw std::invalid_argument("'team' is longer than " +
                                std::to_string(kLongestTeam));
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

// A payload is passed to the backend server as it is if it is a string, and as
// JSON text otherwise.
TaskSpec ReadTask(const Json& json) {
  AllowOnly(json, {"payload", "size"}, "a task");
  TaskSpec task;
  if (json.contains("payload")) {
    const Json& payload = json.at("payload");
    task.payload =
        payload.is_string() ? payload.get<std::string>() : payload.dump();
  }
  if (!json.contains("size")) return task;
  const Json& size = json.at("size");
  AllowOnly(size, {"cpu", "memory_mb", "accelerators"}, "a size");
  task.size.cpu = InRange(size, "cpu", 0.0, 0.0, kMostCpu);
  task.size.memory_mb =
      InRange<std::int64_t>(size, "memory_mb", 0, 0, kMostMemoryMb);
  task.size.accelerators =
      InRange<std::int64_t>(size, "accelerators", 0, 0, kMostAccelerators);
  return task;
}

std::optional<IdempotencyKey> ReadKey(const HttpRequest& request) {
  const auto key = request.Header("idempotency-key");
  if (!key) return std::nullopt;
  if (key->empty() || key->size() > kLongestKey) {
    throw std::invalid_argument("Idempotency-Key has to have 1 to " +
                                std::to_string(kLongestKey) + " characters");
  }
  for (const char c : *key) {
    if (c > ' ' && c < '\x7f') continue;
    throw std::invalid_argument("Idempotency-Key has to be printable ASCII");
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
  AllowOnly(json, {"service", "tasks", "class", "team", "deadline_ms"},
            "the job");
  Submission submission;
  submission.kind = SubmissionKind::kJob;
  submission.service = ServiceName(NonEmptyText(json, "service"));
  if (json.contains("class")) {
    submission.task_class = ReadClass(NonEmptyText(json, "class"));
  }
  if (json.contains("team")) {
    submission.team = ReadTeam(NonEmptyText(json, "team"));
  }
  if (json.contains("deadline_ms")) {
    submission.deadline = Duration(
        InRange<std::int64_t>(json, "deadline_ms", 0, 1, kLongestDeadlineMs));
  }
  if (!json.contains("tasks") || !json.at("tasks").is_array() ||
      json.at("tasks").empty() || json.at("tasks").size() > kMostTasks) {
    throw std::invalid_argument("'tasks' has to be an array of 1 to " +
                                std::to_string(kMostTasks) + " tasks");
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
        deadline > kLongestDeadlineMs) {
      throw std::invalid_argument("Geranium-Deadline-Ms has to be 1 to " +
                                  std::to_string(kLongestDeadlineMs));
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
  const char* middle = text.data() + dash;
  const char* end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), middle, entry, 16);
  const auto second = std::from_chars(middle + 1, end, number);
  if (first.ptr != middle || second.ptr != end) return std::nullopt;
  if (first.ec != std::errc() || second.ec != std::errc()) return std::nullopt;
  return JobId{Incarnation(entry), number};
}

}  // namespace geranium
