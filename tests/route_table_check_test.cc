#include "contract/route_table_check.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/ingress.h"
#include "platform/operator_log.h"
#include "runtime/client_limits.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

Json RouteOf(const std::string& name, const std::string& prefix) {
  return {{"name", name},          {"host", "a.example"},
          {"path-prefix", prefix}, {"service", "desk"},
          {"priority", 1},         {"target-latency-ms", 60},
          {"slack-factor", 1.6},   {"max-attempts", 2}};
}

Json ManifestOf(const std::vector<Json>& routes) {
  return {{"version", 5}, {"routes", routes}, {"services", {"desk", "mail"}}};
}

/// The lines that the command prints.
std::vector<std::string> Check(const Json& manifest,
                               const Json* in_force = nullptr) {
  const RouteTableCheck check(
      {static_cast<std::int64_t>(platform::kSmallestJobBody.size()),
       static_cast<std::int64_t>(HttpServerLimits::kMaxBodyBytes)});
  RouteManifest before;
  if (in_force != nullptr) {
    before = platform::ReadRouteManifest(in_force->dump());
  }
  std::vector<std::string> lines;
  for (const RouteFinding& finding :
       check.Run(platform::ReadRouteManifest(manifest.dump()),
                 in_force == nullptr ? nullptr : &before)) {
    lines.push_back(std::string(Name(finding.severity)) + ": " +
                    finding.message);
  }
  return lines;
}

/// Whether there is one finding and it contains the text.
void CheckOnly(const Json& manifest, const std::string& severity,
               const std::string& text) {
  const auto lines = Check(manifest);
  CAPTURE(lines, text);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].starts_with(severity + ": "));
  CHECK(lines[0].find(text) != std::string::npos);
}

TEST_CASE("Route check reports nothing on a sound manifest") {
  Json other_host = RouteOf("other host", "/a/");
  other_host["host"] = "b.example";
  Json longer = RouteOf("longer", "/a/b/");
  longer["priority"] = 0;
  CHECK(
      Check(ManifestOf({RouteOf("short", "/a/"), longer, other_host})).empty());
}

TEST_CASE("Route check finds every route with a missing or invalid field") {
  Json no_service = RouteOf("r", "/a/");
  no_service.erase("service");
  Json text_priority = RouteOf("s", "/b/");
  text_priority["priority"] = "high";
  Json manifest = ManifestOf({no_service, RouteOf("t", "/c/"), text_priority});
  manifest.erase("version");
  const auto lines = Check(manifest, &manifest);
  REQUIRE(lines.size() == 3);
  CHECK(lines[0].starts_with("error: missing or invalid: route 0: service"));
  CHECK(lines[1].starts_with("error: missing or invalid: route 2: priority"));
  CHECK(lines[2].starts_with("error: missing or invalid: version"));
}

TEST_CASE("Route check finds text that is not JSON") {
  const auto manifest = platform::ReadRouteManifest("{\"version\":1,");
  CHECK(HasErrors(RouteTableCheck({1, 100}).Run(manifest, nullptr)));
}

TEST_CASE("Route check finds limits that entries replace by the default") {
  Json manifest = ManifestOf({});
  manifest["limits"] = {{"max-body-bytes", "1 MiB"}};
  CheckOnly(manifest, "error", "limits: max-body-bytes; entries use the");
}

TEST_CASE("Route check finds routes of services that nobody provides") {
  Json route = RouteOf("r", "/a/");
  route["service"] = "desc";
  CheckOnly(ManifestOf({route}), "error", "no service 'desc'");
  Json unlisted = ManifestOf({route});
  unlisted.erase("services");
  CheckOnly(unlisted, "warning", "no list of services");
}

TEST_CASE("Route check reads services as names, objects and keys") {
  Json manifest = ManifestOf({RouteOf("r", "/a/")});
  manifest["services"] = Json::array({{{"name", "desk"}}});
  CHECK(Check(manifest).empty());
  manifest["services"] = {{"desk", Json::object()}};
  CHECK(Check(manifest).empty());
  manifest["services"] = Json::array({"desk", 7});
  CheckOnly(manifest, "error", "services");
}

TEST_CASE("Route check finds a version that entries would not adopt") {
  Json manifest = ManifestOf({});
  const Json in_force = manifest;
  for (const int version : {4, 5}) {
    manifest["version"] = version;
    const auto lines = Check(manifest, &in_force);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].starts_with("error: version"));
  }
  for (const int version : {0, -1}) {
    manifest["version"] = version;
    CheckOnly(manifest, "error", "version is below 1");
  }
}

TEST_CASE("Route check finds the second route of a host and prefix") {
  Json second = RouteOf("second", "/a/");
  second["service"] = "mail";
  const Json manifest = ManifestOf({RouteOf("first", "/a/"), second});
  CheckOnly(manifest, "error", "route 'second' (a.example /a/): never matches");
  const auto table = platform::ReadRouteManifest(manifest.dump()).table;
  CHECK(table.Find("a.example", "/a/1")->name == "first");
}

TEST_CASE("Route check finds hosts and prefixes that no request has") {
  const std::pair<const char*, const char*> mistakes[] = {
      {"path-prefix", ""},
      {"path-prefix", "a/"},
      {"path-prefix", "/a/?x=/"},
      {"host", ""},
      {"host", "a.example:80"}};
  for (const auto& [field, value] : mistakes) {
    Json route = RouteOf("r", "/a/");
    route[field] = value;
    CheckOnly(ManifestOf({route}), "error", "route 'r'");
  }
  Json route = RouteOf("r", "/a/");
  route["host"] = "A.example";
  CheckOnly(ManifestOf({route}), "warning", "case-sensitively");
}

TEST_CASE("Route check finds a prefix under which jobs cannot be cancelled") {
  CheckOnly(ManifestOf({RouteOf("r", "/a")}), "warning", "cancelled");
  const std::string id(16, '0');
  CHECK_FALSE(platform::JobIdOf("/a/" + id, "/a").has_value());
  CHECK(platform::JobIdOf("/a/" + id, "/a/").has_value());
}

TEST_CASE("Route check finds limits of a route that no job can meet") {
  const std::pair<const char*, Json> mistakes[] = {{"max-attempts", 0},
                                                   {"max-attempts", -1},
                                                   {"target-latency-ms", -1},
                                                   {"slack-factor", -1.0}};
  for (const auto& [field, value] : mistakes) {
    Json route = RouteOf("r", "/a/");
    route[field] = value;
    CheckOnly(ManifestOf({route}), "error", field);
  }
  Json route = RouteOf("r", "/a/");
  route["slack-factor"] = 0.5;
  CheckOnly(ManifestOf({route}), "warning", "longer than about 120 ms");
  route["target-latency-ms"] = 0;
  CheckOnly(ManifestOf({route}), "error", "no job can meet its objective");
}

TEST_CASE("Route check finds a body limit that no job or no server keeps") {
  HttpRequest request;
  request.path = "/a/0123456789abcdef";
  request.body = platform::kSmallestJobBody;
  CHECK(platform::ReadSubmission(request).has_value());
  Json manifest = ManifestOf({});
  for (const auto& [bytes, text] : {std::pair(13, "smallest valid job"),
                                    std::pair(8'388'609, "server's limit")}) {
    manifest["limits"] = {{"max-body-bytes", bytes}};
    CheckOnly(manifest, "error", text);
  }
  for (const int bytes : {14, 8'388'608}) {
    manifest["limits"] = {{"max-body-bytes", bytes}};
    CHECK(Check(manifest).empty());
  }
}

TEST_CASE("Route check finds a longer prefix that changes nothing") {
  CheckOnly(ManifestOf({RouteOf("r", "/a/b/"), RouteOf("r", "/a/")}), "warning",
            "route 'r' (a.example /a/b/): redundant");
  // Without it, a route between the two would take its paths.
  Json between = RouteOf("between", "/a/b/");
  between["priority"] = 0;
  CHECK(
      Check(ManifestOf({RouteOf("r", "/a/"), between, RouteOf("r", "/a/b/c/")}))
          .empty());
}

TEST_CASE("Route check lists what an operator may have changed by mistake") {
  Json changed = RouteOf("r", "/a/");
  const Json in_force = ManifestOf({changed, RouteOf("old", "/old/")});
  changed["priority"] = 0;
  changed["slack-factor"] = 2.5;
  Json manifest = ManifestOf({RouteOf("new", "/new/"), changed});
  manifest["version"] = 6;
  manifest["services"] = {"desk", "print"};
  manifest["limits"] = {{"max-body-bytes", 1000}};
  CHECK(Check(manifest, &in_force) ==
        std::vector<std::string>{
            "change: version 5 -> 6",
            "change: route 'new' (a.example /new/): added",
            "change: route 'r' (a.example /a/): priority 1 -> 0",
            "change: route 'r' (a.example /a/): slack-factor 1.6 -> 2.5",
            "change: route 'old' (a.example /old/): removed",
            "change: service 'print': added", "change: service 'mail': removed",
            "change: limits: max-body-bytes 262144 -> 1000"});
}

TEST_CASE("Route check prints one line for a name with a line feed") {
  Json route = RouteOf("r\nerror: x", "/a/");
  route["max-attempts"] = 0;
  CheckOnly(ManifestOf({route}), "error", "'r?error: x'");
}

}  // namespace
}  // namespace geranium
