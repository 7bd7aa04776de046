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
  } else if (!available_) {
    exchange->Reply(JsonResponse(503, Json::object()));
  } else if (request.path == "/-/log-newest") {
    exchange->Reply(ReadNewest());
  } else if (request.path == "/-/log-read") {
    const auto wait =
        std::chrono::milliseconds(std::stoll(request.Query("wait-ms", "0")));
    Read(exchange, std::stoull(request.Query("from", "0")),
         std::chrono::steady_clock::now() + wait);
  } else {
    exchange->Reply(JsonResponse(404, Json::object()));
  }
}

HttpResponse PlatformStore::ReadNewest() const {
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    newest[records_[i].first] = i;
  }
  Json items = Json::array();
  for (const auto& [key, offset] : newest) {
    const std::string& value = records_[offset].second;
    if (value.empty()) continue;
    items.push_back(
        {{"key", key}, {"value", EncodeBase64(value)}, {"offset", offset}});
  }
  return JsonResponse(
      200,
      {{"items", items}, {"has-more", false}, {"end-offset", records_.size()}});
}

void PlatformStore::Read(const ExchangePtr& exchange, std::size_t from,
                         std::chrono::steady_clock::time_point until) {
  if (!available_) {
    exchange->Reply(JsonResponse(503, Json::object()));
    return;
  }
  if (silent_) {
    unanswered_.push_back(exchange);
    return;
  }
  if (from < oldest_readable_) {
    exchange->Reply(JsonResponse(410, {{"first", oldest_readable_}}));
    return;
  }
  if (records_.size() <= from && std::chrono::steady_clock::now() < until) {
    auto timer = std::make_shared<Timer>(io_, kPollInterval);
    timer->async_wait([this, timer, exchange, from, until](const auto& error) {
      if (!error) Read(exchange, from, until);
    });
    return;
  }
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = EncodeBigEndian(records_.size(), 8) +
                  EncodeBigEndian(oldest_readable_, 8);
  for (std::size_t i = from; i < records_.size(); ++i) {
    const auto& [key, value] = records_[i];
    const std::string content = static_cast<char>(key.size()) + key + value;
    response.body += EncodeBigEndian(content.size(), 4) + content;
  }
  exchange->Reply(std::move(response));
}

}  // namespace geranium::standins
