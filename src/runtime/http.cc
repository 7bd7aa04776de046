#include "runtime/http.h"

#include <boost/algorithm/string.hpp>
#include <charconv>
#include <vector>

namespace geranium {
namespace {

std::string DecodeUrl(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    int code = 0;
    const char* digits = text.data() + i + 1;
    const bool is_escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2;
    if (is_escape) {
      decoded += static_cast<char>(code);
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

std::string HttpRequest::Query(const std::string& name,
                               const std::string& fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

std::optional<std::string> HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  if (found == headers.end()) return std::nullopt;
  return found->second;
}

void SplitTarget(const std::string& target, HttpRequest& request) {
  const auto question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark == std::string::npos) return;
  std::vector<std::string> items;
  const std::string query = target.substr(question_mark + 1);
  boost::split(items, query, boost::is_any_of("&"));
  for (const std::string& item : items) {
    const auto equals = item.find('=');
    if (equals == std::string::npos) continue;
    request.query[DecodeUrl(item.substr(0, equals))] =
        DecodeUrl(item.substr(equals + 1));
  }
}

std::optional<std::string> PathSegment(const std::string& path,
                                       const std::string& prefix,
                                       const std::string& suffix) {
  if (path.size() <= prefix.size() + suffix.size()) return std::nullopt;
  if (!path.starts_with(prefix) || !path.ends_with(suffix)) {
    return std::nullopt;
  }
  const std::string segment =
      path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  if (segment.find('/') != std::string::npos) return std::nullopt;
  return segment;
}

}  // namespace geranium
