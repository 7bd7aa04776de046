#include "cases.h"

#include <signal.h>

#include <cstdio>
#include <iostream>
#include <random>

#include "site.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Bounds of the site szolar-ops.
constexpr int kContactMs = 3000;
constexpr int kCancelMs = 3000;
constexpr int kAckTimeoutMs = 4000;
constexpr int kConfigApplyMs = 2000;
constexpr int kResendMs = 1300;

constexpr double kCores = 3.1;
constexpr char kPrefix[] = "/visits/";
constexpr char kOtherPrefix[] = "/quotes/";

Json Route(const std::string& name, const std::string& prefix, int priority) {
  return {{"name", name},
          {"host", "callers.example"},
          {"path-prefix", prefix},
          {"kind", "non_idempotent"},
          {"timeout-ms", 30000},
          {"target-latency-ms", 60},
          {"priority", priority},
          {"service", "dispatch"},
          {"max-attempts", 4},
          {"slack-factor", 1.6}};
}

Json Manifest(int version, const std::vector<Json>& routes) {
  return {{"version", version},
          {"routes", routes},
          {"services",
           {{{"name", "dispatch"},
             {"health-path", "/healthz"},
             {"max-conns", 64},
             {"protocol", "h1"}}}},
          {"limits", {{"max-body-bytes", 262144}}}};
}

Json FirstManifest() {
  return Manifest(
      3, {Route("visits", kPrefix, 2), Route("quotes", kOtherPrefix, 1)});
}

std::string NewJobId() {
  static std::mt19937_64 random{std::random_device{}()};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

/// A chain of steps, each of `tasks` tasks that work for `work_ms`.
std::string JobBody(int steps, int tasks, int work_ms) {
  Json list = Json::array();
  for (int i = 0; i < steps; ++i) {
    Json step = {{"count", tasks},
                 {"cpu", static_cast<int>(kCores * 1000)},
                 {"mem-mb", 64},
                 {"estimated-ms", work_ms}};
    if (i > 0) step["depends-on"] = {i - 1};
    list.push_back(step);
  }
  const Json spec = {{"work_ms", work_ms}, {"cores", kCores}};
  return Json{{"spec", spec.dump()}, {"best-effort", true}, {"steps", list}}
      .dump();
}

bool Begin(Site& site) {
  site.Publish(FirstManifest());
  if (site.AwaitReady(30'000)) return true;
  site.Note("the deployment did not become ready");
  return false;
}

int Conclude(Site& site, bool broken, const std::string& what) {
  site.Note((broken ? "BROKEN: " : "held: ") + what);
  std::cout << (broken ? "broken: " : "held: ") << what << "\n";
  return broken ? kBroken : kHeld;
}

// ---- an entry that is cut off for some seconds goes on with its jobs

/// A client that sends its job again as the pages say.
struct Caller {
  std::string id;
  std::shared_ptr<Request> request;
  int status = -1;
};

int IsolatedEntry(const std::string& folder, bool is_disrupted) {
  Site site({4, 11, 32, folder});
  if (!Begin(site)) return kCannotRun;
  constexpr int kJobs = 3;
  constexpr int kDeadlineMs = 25'000;
  constexpr int kCutMs = 5500;
  constexpr int kKeepAliveMs = 2000;
  const std::string body = JobBody(1, 4, 5000);
  std::vector<Caller> callers(kJobs);
  const auto send = [&](Caller& caller, int entry) {
    caller.request = site.Send(
        entry, "client of " + caller.id, "POST", kPrefix + caller.id, body,
        kDeadlineMs,
        [&caller](int status, const std::string&) { caller.status = status; });
  };
  for (Caller& caller : callers) {
    caller.id = NewJobId();
    send(caller, 3);
  }
  site.RunFor(1000);
  if (is_disrupted) {
    site.Note("entry-3 is cut off from all others");
    site.SetCut([](const std::string& from, const std::string&) {
      return from == "entry-3";
    });
    site.RunFor(kKeepAliveMs);
    for (Caller& caller : callers) {
      site.Note("the keep-alive of the client of " + caller.id +
                " finds its channel broken; the client resets it");
      caller.request->Reset();
    }
    site.RunFor(kResendMs);
    for (Caller& caller : callers) send(caller, 1);
    site.RunFor(kCutMs - kKeepAliveMs - kResendMs);
    site.Note("the cut ends");
    site.SetCut(nullptr);
  }
  site.RunFor(15'000);
  int unanswered = 0;
  for (const Caller& caller : callers) unanswered += caller.status != 200;
  site.Note(std::to_string(unanswered) + " jobs without a 200");
  bool broken = false;
  for (const Site::Overlap& overlap : site.FindOverlaps()) {
    site.Note("two runs of " + overlap.first.task + " at the same time for " +
              std::to_string(overlap.ms) + " ms, at i-" +
              std::to_string(overlap.first.worker) + " and i-" +
              std::to_string(overlap.second.worker));
    broken = true;
  }
  return Conclude(site, broken, "TWICE");
}

// ---- a job whose route is dropped cannot be cancelled

int DroppedRoute(const std::string& folder, bool is_disrupted) {
  Site site({4, 11, 32, folder});
  if (!Begin(site)) return kCannotRun;
  const std::string id = NewJobId();
  // 8 steps of 2 s: the job takes 16 s.
  site.Send(0, "client", "POST", kPrefix + id, JobBody(8, 2, 2000), 30'000,
            [](int, const std::string&) {});
  site.RunFor(1000);
  if (is_disrupted) {
    site.Publish(Manifest(7, {Route("quotes", kOtherPrefix, 1)}));
  } else {
    site.Publish(Manifest(7, {Route("visits", kPrefix, 1),
                              Route("quotes", kOtherPrefix, 1)}));
  }
  site.RunFor(kConfigApplyMs + 1000);
  const std::int64_t asked_ms = site.NowMs();
  std::int64_t acknowledged_ms = -1;
  std::vector<std::shared_ptr<Request>> requests;
  for (int i = 0; i < 5 && acknowledged_ms < 0; ++i) {
    requests.push_back(site.Send(
        i % 4, "client", "DELETE", kPrefix + id, "", 1500,
        [&](int status, const std::string&) {
          const bool is_ack = status / 100 == 2 || status == 410;
          if (is_ack && acknowledged_ms < 0) acknowledged_ms = site.NowMs();
        }));
    site.RunFor(1000);
  }
  site.RunFor(12'000);
  const std::int64_t from_ms =
      (acknowledged_ms >= 0 ? acknowledged_ms : asked_ms + kAckTimeoutMs) +
      kCancelMs;
  bool broken = false;
  for (const RunSpan& span : site.Runs()) {
    if (span.began_ms <= from_ms) continue;
    broken = true;
    site.Note(span.task + " was started " +
              std::to_string(span.began_ms - asked_ms) +
              " ms after the job was cancelled");
  }
  return Conclude(site, broken, "UNASKED");
}

// ---- a cancel that is acknowledged elsewhere does not reach the job

int ForgottenCancel(const std::string& folder, bool is_disrupted) {
  Site site({4, 11, 32, folder});
  if (!Begin(site)) return kCannotRun;
  constexpr int kCutMs = 4000;
  const std::string id = NewJobId();
  site.Send(0, "client", "POST", kPrefix + id, JobBody(10, 2, 1500), 30'000,
            [](int, const std::string&) {});
  site.RunFor(1000);
  if (is_disrupted) {
    site.Note("entry-0 is cut from the other entries and from the store");
    site.SetCut([](const std::string& from, const std::string& to) {
      return from == "entry-0" && (to.starts_with("entry-") || to == "store");
    });
  }
  site.RunFor(3000);
  std::int64_t acknowledged_ms = -1;
  site.Send(1, "client", "DELETE", kPrefix + id, "", 1500,
            [&](int status, const std::string&) {
              const bool is_ack = status / 100 == 2 || status == 410;
              if (is_ack) acknowledged_ms = site.NowMs();
            });
  site.RunFor(kCutMs - 3000);
  std::int64_t healed_ms = 0;
  if (is_disrupted) {
    site.Note("the cut ends");
    site.SetCut(nullptr);
    healed_ms = site.NowMs();
  }
  site.RunFor(14'000);
  if (acknowledged_ms < 0) return kCannotRun;
  const std::int64_t from_ms =
      std::max(acknowledged_ms + kCancelMs, healed_ms + kContactMs);
  bool broken = false;
  for (const RunSpan& span : site.Runs()) {
    if (span.began_ms <= from_ms) continue;
    broken = true;
    site.Note(span.task + " was started " +
              std::to_string(span.began_ms - acknowledged_ms) +
              " ms after the cancelling was acknowledged");
  }
  return Conclude(site, broken, "UNASKED");
}

}  // namespace

int Play(const std::string& name, const std::string& folder,
         bool is_disrupted) {
  if (name == "isolated-entry") return IsolatedEntry(folder, is_disrupted);
  if (name == "dropped-route") return DroppedRoute(folder, is_disrupted);
  if (name == "forgotten-cancel") return ForgottenCancel(folder, is_disrupted);
  std::cerr << "no such case: " << name << "\n";
  return kCannotRun;
}

}  // namespace review
