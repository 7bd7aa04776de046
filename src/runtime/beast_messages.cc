#include "runtime/beast_messages.h"

#include <cctype>
#include <string>
#include <utility>

namespace geranium {
namespace {

namespace http = boost::beast::http;

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

}  // namespace

HttpRequest ToRequest(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  SplitTarget(std::string(message.target()), request);
  for (const auto& field : message) {
    request.headers[LowerCase(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

BeastResponse ToBeastMessage(HttpResponse response, unsigned version,
                             bool keep_open) {
  BeastResponse message(static_cast<http::status>(response.status), version);
  message.set(http::field::content_type, response.content_type);
  if (response.retry_after_s) {
    message.set(http::field::retry_after,
                std::to_string(*response.retry_after_s));
  }
  message.keep_alive(keep_open);
  // These statuses have no body, and Beast throws if one is given.
  const bool has_no_body =
      response.status < 200 || response.status == 204 || response.status == 304;
  if (!has_no_body) message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

HttpResponse ParseErrorResponse(const boost::beast::error_code& error) {
  HttpResponse response;
  response.status = 400;
  response.body =
      std::string(R"({"error":{"code":"malformed",)") +
      R"("step":"read request","peer":"caller","execution":"not_run",)" +
      R"("message":")" + error.message() + R"("}})" + "\n";
  return response;
}

}  // namespace geranium
