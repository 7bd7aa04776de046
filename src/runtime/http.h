#ifndef GERANIUM_RUNTIME_HTTP_H_
#define GERANIUM_RUNTIME_HTTP_H_

#include <map>
#include <optional>
#include <string>

namespace geranium {

/// A parsed request: header names in lower case, the target split into path and
/// query.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  /// The value of the query parameter `name`; `fallback` if absent.
  std::string Query(const std::string& name, const std::string& fallback) const;
  /// The header's value; none if absent.
  std::optional<std::string> Header(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<int> retry_after_s;
};

/// Splits "/a/b?x=1&y=2" into path and query; decodes the query alone.
void SplitTarget(const std::string& target, HttpRequest& request);

/// The segment, if `path` is `prefix`, one non-empty segment and `suffix`.
std::optional<std::string> PathSegment(const std::string& path,
                                       const std::string& prefix,
                                       const std::string& suffix);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_HTTP_H_
