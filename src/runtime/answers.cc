#include "runtime/answers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace geranium {
namespace {

using Json = nlohmann::json;

constexpr int kRetryAfterS = 1;

const Error* FirstError(const JobAnswer& answer) {
  // Prefers the error that made the job fail to those of tasks it cancelled.
  const Error* first = nullptr;
  for (const TaskOutcome& outcome : answer.outcomes) {
    if (!outcome.error) continue;
    if (first == nullptr) first = &*outcome.error;
    if (outcome.error->code != ErrorCode::kCancelled) return &*outcome.error;
  }
  return first;
}

// The execution state of the whole job: not run only if no task may have run.
Execution JobExecution(const JobAnswer& answer) {
  Execution execution = Execution::kNotRun;
  for (const TaskOutcome& outcome : answer.outcomes) {
    if (!outcome.error) return Execution::kRanFailed;
    if (outcome.error->execution == Execution::kNotRun) continue;
    if (execution != Execution::kRanFailed)
      execution = outcome.error->execution;
  }
  return execution;
}

Json TaskToJson(const TaskOutcome& outcome) {
  const bool succeeded = outcome.status == TaskStatus::kSucceeded;
  Json json{{"status", succeeded ? "succeeded" : "failed"}};
  if (outcome.http_status != 0) json["http_status"] = outcome.http_status;
  if (!outcome.body.empty()) json["body"] = outcome.body;
  if (outcome.error) json["error"] = ToJson(*outcome.error);
  return json;
}

}  // namespace

Json ToJson(const Error& error) {
  return {{"code", Name(error.code)},
          {"step", error.step},
          {"peer", error.peer},
          {"execution", Name(error.execution)},
          {"message", error.message}};
}

Json ToJson(const JobAnswer& answer) {
  Json tasks = Json::array();
  for (const TaskOutcome& outcome : answer.outcomes) {
    tasks.push_back(TaskToJson(outcome));
  }
  return {{"job", ToString(answer.job)},
          {"status", answer.complete ? "complete" : "failed"},
          {"tasks", std::move(tasks)}};
}

Json ToJson(const Event& event) {
  Json json{{"sequence", event.sequence},
            {"at_ms", event.at.ms()},
            {"kind", Name(event.kind)}};
  if (event.job) json["job"] = ToString(*event.job);
  if (event.attempt) json["attempt"] = ToString(*event.attempt);
  if (!event.peer.empty()) json["peer"] = event.peer;
  if (!event.detail.empty()) json["detail"] = event.detail;
  return json;
}

HttpResponse JsonResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse ErrorResponse(const Error& error) {
  HttpResponse response =
      JsonResponse(HttpStatus(error.code), Json{{"error", ToJson(error)}});
  if (response.status == 503) response.retry_after_s = kRetryAfterS;
  return response;
}

HttpResponse JobResponse(const JobAnswer& answer) {
  if (answer.complete) return JsonResponse(200, ToJson(answer));
  Error error;
  error.code = ErrorCode::kInDoubt;
  if (const Error* first = FirstError(answer)) error = *first;
  error.execution = JobExecution(answer);
  Json body = ToJson(answer);
  body["error"] = ToJson(error);
  HttpResponse response = JsonResponse(HttpStatus(error.code), body);
  if (response.status == 503) response.retry_after_s = kRetryAfterS;
  return response;
}

HttpResponse RequestResponse(const JobAnswer& answer) {
  const TaskOutcome& outcome = answer.outcomes.front();
  if (outcome.error) {
    HttpResponse response = ErrorResponse(*outcome.error);
    // A 4xx status of the backend server is passed on unchanged.
    const bool is_client_error =
        outcome.http_status >= 400 && outcome.http_status < 500;
    if (is_client_error) response.status = outcome.http_status;
    return response;
  }
  HttpResponse response;
  response.status = outcome.http_status;
  response.body = outcome.body;
  return response;
}

}  // namespace geranium
