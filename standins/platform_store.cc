#include "platform_store.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

#include "runtime/answers.h"

namespace geranium::standins {
namespace {

using Json = nlohmann::json;
using Timer = boost::asio::steady_timer;

/// A long poll checks for new records at this interval.
constexpr auto kPollInterval = std::chrono::milliseconds(5);
// The platform's limits.
constexpr int kMaxPartitions = 64;
constexpr std::size_t kMaxRecordBytes = 262'144;
constexpr std::size_t kMaxAppendBytes = 2U << 20U;

std::string EncodeBigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(value >> (8 * i) & 0xffU));
  }
  return text;
}

std::string EncodeBase64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8U |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out.push_back(i + j > text.size() ? '='
                                        : kDigits[bits >> (18 - 6 * j) & 63U]);
    }
  }
  return out;
}

}  // namespace

void PlatformStore::Serve(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  if (silent_) {
    unanswered_.push_back(exchange);
    return;
  }
  const Partition* partition = Find(request);
  if (!available_ || (partition != nullptr && !partition->available)) {
    exchange->Reply(JsonResponse(503, Json::object()));
  } else if (request.path == "/-/log-append" && request.method == "POST") {
    exchange->Reply(Append(request));
  } else if (partition != nullptr && request.path == "/-/log-newest") {
    exchange->Reply(ReadNewest(*partition));
  } else if (partition != nullptr && request.path == "/-/log-read") {
    const auto wait =
        std::chrono::milliseconds(std::stoll(request.Query("wait-ms", "0")));
    Read(exchange, *partition, std::stoull(request.Query("from", "0")),
         std::chrono::steady_clock::now() + wait);
  } else {
    exchange->Reply(JsonResponse(404, Json::object()));
  }
}

PlatformStore::Partition* PlatformStore::Find(const HttpRequest& request) {
  (void)OperatorLog();
  const auto found = partitions_.find(
      {request.Query("topic", ""), std::stoi(request.Query("part", "0"))});
  return found == partitions_.end() ? nullptr : &found->second;
}

// Only the operator appends to its log. A call is taken as a whole or not at
// all.
HttpResponse PlatformStore::Append(const HttpRequest& request) {
  const std::string topic = request.Query("topic", "");
  const int number = std::stoi(request.Query("part", "0"));
  const std::string& body = request.body;
  if (topic == "keyed.op") return JsonResponse(403, Json::object());
  if (!topic.starts_with("keyed.") || number < 0 || number >= kMaxPartitions ||
      body.empty()) {
    return JsonResponse(400, Json::object());
  }
  if (body.size() > kMaxAppendBytes) return JsonResponse(413, Json::object());
  std::deque<std::pair<std::string, std::string>> records;
  for (std::size_t at = 0; at < body.size();) {
    if (body.size() - at < 5) return JsonResponse(400, Json::object());
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      length = length << 8U | static_cast<unsigned char>(body[at + i]);
    }
    at += 4;
    const std::size_t key = static_cast<unsigned char>(body[at]);
    if (length < 1 + key || body.size() - at < length) {
      return JsonResponse(400, Json::object());
    }
    if (length > kMaxRecordBytes) return JsonResponse(413, Json::object());
    records.emplace_back(body.substr(at + 1, key),
                         body.substr(at + 1 + key, length - 1 - key));
    at += length;
  }
  Partition& partition = partitions_[{topic, number}];
  const std::size_t offset = partition.records.size();
  for (auto& record : records) partition.records.push_back(std::move(record));
  return JsonResponse(
      200, {{"offset", offset}, {"end-offset", partition.records.size()}});
}

HttpResponse PlatformStore::ReadNewest(const Partition& partition) {
  const auto& records = partition.records;
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < records.size(); ++i) {
    newest[records[i].first] = i;
  }
  Json items = Json::array();
  for (const auto& [key, offset] : newest) {
    const std::string& value = records[offset].second;
    if (value.empty()) continue;
    items.push_back(
        {{"key", key}, {"value", EncodeBase64(value)}, {"offset", offset}});
  }
  return JsonResponse(
      200,
      {{"items", items}, {"has-more", false}, {"end-offset", records.size()}});
}

void PlatformStore::Read(const ExchangePtr& exchange,
                         const Partition& partition, std::size_t from,
                         std::chrono::steady_clock::time_point until) {
  if (!available_ || !partition.available) {
    exchange->Reply(JsonResponse(503, Json::object()));
    return;
  }
  if (silent_) {
    unanswered_.push_back(exchange);
    return;
  }
  const auto& records = partition.records;
  if (from < partition.oldest_readable) {
    exchange->Reply(JsonResponse(410, {{"first", partition.oldest_readable}}));
    return;
  }
  if (records.size() <= from && std::chrono::steady_clock::now() < until) {
    auto timer = std::make_shared<Timer>(io_, kPollInterval);
    timer->async_wait(
        [this, timer, exchange, &partition, from, until](const auto& error) {
          if (!error) Read(exchange, partition, from, until);
        });
    return;
  }
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = EncodeBigEndian(records.size(), 8) +
                  EncodeBigEndian(partition.oldest_readable, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    const auto& [key, value] = records[i];
    const std::string content = static_cast<char>(key.size()) + key + value;
    response.body += EncodeBigEndian(content.size(), 4) + content;
  }
  exchange->Reply(std::move(response));
}

}  // namespace geranium::standins
