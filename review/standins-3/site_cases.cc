#include "site_cases.h"

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
constexpr int kResendMs = 1300;

constexpr double kCores = 3.1;
constexpr char kPrefix[] = "/visits/";
constexpr char kOtherPrefix[] = "/quotes/";

Json Route(const std::string& name, const std::string& prefix, int priority) {
  return {{"name", name},          {"host", "callers.example"},
          {"path-prefix", prefix}, {"kind", "non_idempotent"},
          {"timeout-ms", 30000},   {"target-latency-ms", 60},
          {"priority", priority},  {"service", "dispatch"},
          {"max-attempts", 4},     {"slack-factor", 1.6}};
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

// `core_cut` of one entry: from the other counted machines and the store.
bool IsCoreCut(const std::string& from, const std::string& to) {
  return from == "entry-0" && (to.starts_with("entry-") || to == "store");
}
constexpr char kCoreCutNote[] =
    "entry-0 is cut off from the other entries and from the store";

int Conclude(Site& site, bool broken, const std::string& what) {
  site.Note((broken ? "BROKEN: " : "held: ") + what);
  std::cout << (broken ? "broken: " : "held: ") << what << "\n";
  return broken ? kBroken : kHeld;
}

// ---- a copy of a job arrives while the entry that has the job is cut off

/// A job that its client sends twice, the first time on a channel that breaks,
/// and of which one more copy arrives later.
struct Copies {
  std::string id;
  int another = 0;  ///< The entry that gets the first request, and the copy.
  std::vector<std::shared_ptr<Request>> requests;
};

struct CopyCase {
  int holder = 0;  ///< The entry that has the jobs and is cut off.
  int cut_ms = 0;
  int copy_after_ms = 0;  ///< From the beginning of the cut.
  IsCut is_cut;
  std::string cut;
};

int PlayCopies(const std::string& folder, bool is_disrupted,
               const CopyCase& played) {
  constexpr int kEntries = 4;
  Site site({kEntries, 11, 32, folder});
  if (!Begin(site)) return kCannotRun;
  constexpr int kJobs = kEntries - 1;
  constexpr int kDeadlineMs = 25'000;
  constexpr int kBreaksAfterMs = 200;
  const std::string body = JobBody(1, 4, 5000);
  std::vector<Copies> jobs(kJobs);
  const auto send = [&](Copies& job, int entry, const std::string& who) {
    job.requests.push_back(site.Send(entry, who + job.id, "POST",
                                     kPrefix + job.id, body, kDeadlineMs,
                                     [](int, const std::string&) {}));
  };
  int number = 0;
  for (Copies& job : jobs) {
    job.id = NewJobId();
    job.another = (played.holder + ++number) % kEntries;
    send(job, job.another, "client of ");
  }
  site.RunFor(kBreaksAfterMs);
  for (Copies& job : jobs) {
    site.Note("the channel of the client of " + job.id + " breaks");
    job.requests.front()->Reset();
  }
  site.RunFor(kResendMs);
  for (Copies& job : jobs) send(job, played.holder, "client of ");
  site.RunFor(1000);
  if (is_disrupted) {
    site.Note(played.cut);
    site.SetCut(played.is_cut);
  }
  site.RunFor(played.copy_after_ms);
  for (Copies& job : jobs) {
    send(job, job.another, "a late copy of the request of ");
  }
  site.RunFor(played.cut_ms - played.copy_after_ms);
  if (is_disrupted) {
    site.Note("the cut ends");
    site.SetCut(nullptr);
  }
  site.RunFor(15'000);
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

// Agents and clients reach the entry all the while.
int CutApart(const std::string& folder, bool is_disrupted) {
  CopyCase played{0, 5500, 2500, IsCoreCut, kCoreCutNote};
  return PlayCopies(folder, is_disrupted, played);
}

// Clients reach the entry all the while; its jobs end with the loss of its
// agents, and the copy is started elsewhere.
int IsolatedEntry(const std::string& folder, bool is_disrupted) {
  CopyCase played{3, 5500, 2500,
                  [](const std::string& from, const std::string& to) {
                    return from == "entry-3" && to != "outside";
                  },
                  "entry-3 is cut off from all other machines of the system"};
  return PlayCopies(folder, is_disrupted, played);
}

// ---- a copy of a cancelled job arrives at an entry that is cut off

int CancelledCopy(const std::string& folder, bool is_disrupted) {
  Site site({4, 11, 32, folder});
  if (!Begin(site)) return kCannotRun;
  constexpr int kCutMs = 5500;
  constexpr int kCancelAfterMs = 300;
  constexpr int kCopyAfterMs = 3400;  // From the answers of the cancelling.
  const std::string id = NewJobId();
  const std::string body = JobBody(1, 2, 1000);
  site.Send(1, "client", "POST", kPrefix + id, body, 10'000,
            [](int, const std::string&) {});
  site.RunFor(300);
  if (is_disrupted) {
    site.Note(kCoreCutNote);
    site.SetCut(IsCoreCut);
  }
  site.RunFor(kCancelAfterMs);
  std::int64_t acknowledged_ms = -1;
  site.Send(1, "client", "DELETE", kPrefix + id, "", 1500,
            [&](int status, const std::string&) {
              const bool is_ack = status / 100 == 2 || status == 410;
              if (is_ack) acknowledged_ms = site.NowMs();
            });
  site.RunFor(kCopyAfterMs);
  if (acknowledged_ms < 0) return kCannotRun;
  site.Send(0, "a late copy of the client's request", "POST", kPrefix + id,
            body, 10'000, [](int, const std::string&) {});
  site.RunFor(kCutMs - kCancelAfterMs - kCopyAfterMs);
  if (is_disrupted) {
    site.Note("the cut ends");
    site.SetCut(nullptr);
  }
  site.RunFor(5000);
  bool broken = false;
  for (const RunSpan& span : site.Runs()) {
    if (span.began_ms <= acknowledged_ms + kCancelMs) continue;
    broken = true;
    site.Note(span.task + " was started " +
              std::to_string(span.began_ms - acknowledged_ms) +
              " ms after the cancelling was acknowledged");
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
    site.Note(kCoreCutNote);
    site.SetCut(IsCoreCut);
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
  if (name == "cut-apart") return CutApart(folder, is_disrupted);
  if (name == "cancelled-copy") return CancelledCopy(folder, is_disrupted);
  if (name == "forgotten-cancel") return ForgottenCancel(folder, is_disrupted);
  std::cerr << "no such case: " << name << "\n";
  return kCannotRun;
}

}  // namespace review
