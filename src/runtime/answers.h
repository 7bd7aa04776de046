#ifndef GERANIUM_RUNTIME_ANSWERS_H_
#define GERANIUM_RUNTIME_ANSWERS_H_

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"
#include "base/events.h"
#include "contract/task.h"
#include "runtime/http.h"

namespace geranium {

/// {"code", "step", "peer", "execution", "message"}.
nlohmann::json ToJson(const Error& error);
nlohmann::json ToJson(const JobAnswer& answer);
nlohmann::json ToJson(const Event& event);

HttpResponse JsonResponse(int status, const nlohmann::json& body);
/// {"error": ...} with the HTTP status for its code.
HttpResponse ErrorResponse(const Error& error);
/// A job's answer: 200 if it is complete, else the status of its first error.
HttpResponse JobResponse(const JobAnswer& answer);
/// A single request's answer: the backend server's response, or an error.
HttpResponse RequestResponse(const JobAnswer& answer);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_ANSWERS_H_
