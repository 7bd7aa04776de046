#include "runtime/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace geranium {
namespace {

using Json = nlohmann::json;

std::string RecordsPath(LogStream stream) {
  return "/v1/streams/" + std::string(Name(stream)) + "/records";
}

HttpCall MakeReadCall(const std::string& address, LogStream stream,
                      LogOffset from, Duration wait) {
  HttpCall call;
  call.address = address;
  call.target = RecordsPath(stream) + "?from=" + std::to_string(from.value()) +
                "&wait_ms=" + std::to_string(wait.ms());
  call.timeout = wait + LogClient::kReadTimeoutMargin;
  return call;
}

HttpCall MakeAppendCall(const std::string& address, LogStream stream,
                        const RecordId& id, const std::string& body) {
  HttpCall call;
  call.address = address;
  call.method = "POST";
  call.target = RecordsPath(stream) + "?id=" + id.value();
  call.body = body;
  call.timeout = LogClient::kAppendTimeout;
  return call;
}

template <class T, class Parse>
Result<T> ParseResponse(const HttpOutcome& outcome, const std::string& step,
                        Parse parse) {
  BOOST_OUTCOME_TRY(response, ToResult(outcome, step, "log"));
  if (response.status != 200) {
    return Error{ErrorCode::kLogOutage, step, "log",
                 "unexpected HTTP status " + std::to_string(response.status),
                 Execution::kMayHaveRun};
  }
  try {
    return parse(Json::parse(response.body));
  } catch (const std::exception& error) {
    return Error{ErrorCode::kMalformed, step, "log", error.what(),
                 Execution::kMayHaveRun};
  }
}

Result<LogBatch> ParseBatch(const HttpOutcome& outcome) {
  return ParseResponse<LogBatch>(outcome, "read log", [](const Json& json) {
    LogBatch batch;
    batch.first = LogOffset(json.at("first").get<std::int64_t>());
    batch.next = LogOffset(json.at("next").get<std::int64_t>());
    for (const Json& item : json.at("records")) {
      LogRecord record;
      record.offset = LogOffset(item.at("offset").get<std::int64_t>());
      record.id = RecordId(item.at("id").get<std::string>());
      record.age = Duration(item.at("age_ms").get<std::int64_t>());
      record.body = item.at("body").get<std::string>();
      batch.records.push_back(std::move(record));
    }
    return batch;
  });
}

Result<LogOffset> ParseOffset(const HttpOutcome& outcome) {
  return ParseResponse<LogOffset>(outcome, "append", [](const Json& json) {
    return LogOffset(json.at("offset").get<std::int64_t>());
  });
}

}  // namespace

void LogClient::Read(LogStream stream, LogOffset from, Duration wait,
                     std::function<void(Result<LogBatch>)> callback) {
  http_.Start(MakeReadCall(address_, stream, from, wait),
              [callback = std::move(callback)](const HttpOutcome& outcome) {
                callback(ParseBatch(outcome));
              });
}

void LogClient::Append(LogStream stream, const RecordId& id,
                       const std::string& body,
                       std::function<void(Result<LogOffset>)> callback) {
  http_.Start(MakeAppendCall(address_, stream, id, body),
              [callback = std::move(callback)](const HttpOutcome& outcome) {
                callback(ParseOffset(outcome));
              });
}

Result<LogBatch> ReadLog(const std::string& address, LogStream stream,
                         LogOffset from) {
  return ParseBatch(Fetch(MakeReadCall(address, stream, from, Duration(0))));
}

Result<LogOffset> AppendToLog(const std::string& address, LogStream stream,
                              const RecordId& id, const std::string& body) {
  return ParseOffset(Fetch(MakeAppendCall(address, stream, id, body)));
}

}  // namespace geranium
