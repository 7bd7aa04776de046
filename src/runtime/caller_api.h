#ifndef GERANIUM_RUNTIME_CALLER_API_H_
#define GERANIUM_RUNTIME_CALLER_API_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "contract/task.h"
#include "runtime/http.h"

namespace geranium {

/// Parses a request to `POST /v1/jobs`.
Result<Submission> ParseJob(const HttpRequest& request);

/// Parses a request to `POST /v1/services/{service}/requests`.
Result<Submission> ParseServiceRequest(const HttpRequest& request,
                                       const std::string& service);

/// The inverse of `ToString(JobId)`.
std::optional<JobId> ParseJobId(const std::string& text);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_CALLER_API_H_
