// The scripts of this review. Usage: review-site SCENARIO RECORD FOLDER; with
// TROUBLE=0 in the environment the disruption is left out.
#include "site.h"

namespace review {
namespace {

constexpr std::int64_t kCancelMs = 3000;       // cancel_ms
constexpr std::int64_t kAckTimeoutMs = 4000;   // ack-timeout-ms
constexpr std::int64_t kConfigApplyMs = 2000;  // config-apply-ms

Site* the_site = nullptr;

/// Lives until the end of the process, as the threads that serve it do.
Site& MakeSite(const SiteOptions& options, const std::string& folder,
               Record& record) {
  the_site = new Site(options, folder, record);
  return *the_site;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// 1 if a task of the job started after its cancelling had to be in force.
int Judge(Site& site, const std::string& job, std::int64_t limit,
          const std::string& rule) {
  const auto late = StartsAfter(site, job, limit);
  for (const Start& start : late) {
    site.record().Write("BROKEN " + rule + ": " + start.task + " run " +
                        std::to_string(start.run) + " started at " +
                        start.worker + " at " + std::to_string(start.at) +
                        " ms, the last moment allowed was " +
                        std::to_string(limit) + " ms");
  }
  if (late.empty())
    site.record().Write("held: no task of " + job + " started after " +
                        std::to_string(limit) + " ms");
  return late.empty() ? 0 : 1;
}

int Unable(Site& site, const std::string& why) {
  site.record().Write("the case could not run: " + why);
  return 2;
}

/// A job is cancelled whose route a newer manifest has removed.
int RouteRemoved(Record& record, const std::string& folder) {
  Site& site = MakeSite({2, 3, {0, 1}}, folder, record);
  site.Publish(1, {"visits", "quotes"});
  site.StartAll();
  if (!site.WaitUntilReady()) return Unable(site, "not ready");
  SleepMs(4000);
  const std::string job = "5c0e7a21d94b36f8";
  std::thread client([&] {
    (void)site.Submit(0, "visits", job, {13'000, 1'000}, 25'000);
  });
  SleepMs(1000);
  if (HasTrouble()) {
    site.Publish(2, {"quotes"});
  }
  SleepMs(kConfigApplyMs + 500);
  const std::int64_t first_sent = record.Now();
  std::optional<std::int64_t> acknowledged;
  while (!acknowledged &&
         record.Now() < first_sent + kAckTimeoutMs + kCancelMs) {
    const Answer answer = site.Cancel(0, "visits", job);
    if (answer.status / 100 == 2 || answer.status == 410)
      acknowledged = record.Now();
    else
      SleepMs(500);
  }
  client.join();
  const std::int64_t limit = acknowledged
                                 ? *acknowledged + kCancelMs
                                 : first_sent + kAckTimeoutMs + kCancelMs;
  return Judge(site, job, limit, "UNASKED");
}

/// A job is cancelled at one entry while the entry that has it is cut off from
/// the store and all machines of other zones. Its clients and the agent of its
/// own zone still reach it. Each entry has a zone of its own, with one agent.
int EntryCut(Record& record, const std::string& folder) {
  constexpr std::int64_t kCutMs = 5500;
  Site& site = MakeSite({3, 3, {0, 1, 2}}, folder, record);
  site.Publish(1, {"visits"});
  site.StartAll();
  if (!site.WaitUntilReady()) return Unable(site, "not ready");
  SleepMs(4000);
  const std::string job = "5c0e7a21d94b36f8";
  std::thread client([&] {
    (void)site.Submit(0, "visits", job, {5'200, 500}, 12'000, "r-i-0");
  });
  SleepMs(500);
  if (HasTrouble()) {
    site.proxies().Cut("entry-a", "agent-0");
    record.Write(
        "entry-a is cut off from the store and from all machines of other "
        "zones");
  }
  const std::int64_t cut_at = record.Now();
  SleepMs(400);
  const Answer answer = site.Cancel(1, "visits", job);
  const std::int64_t acknowledged = record.Now();
  const bool is_acknowledged = answer.status / 100 == 2 || answer.status == 410;
  SleepMs(cut_at + kCutMs - record.Now());
  if (HasTrouble()) {
    site.proxies().Heal();
    record.Write("the cut heals");
  }
  client.join();
  if (!is_acknowledged)
    return Unable(site, "the cancelling was not acknowledged");
  return Judge(site, job, acknowledged + kCancelMs, "UNASKED");
}

/// A job is cancelled at an entry that has just been started again after a
/// kill.
int EntryRestarted(Record& record, const std::string& folder) {
  constexpr int kRounds = 6;
  Site& site = MakeSite({4, 3, {1, 2, 3}}, folder, record);
  site.SortEntriesByLinkAddress();
  site.Publish(1, {"visits"});
  site.StartAll();
  if (!site.WaitUntilReady()) return Unable(site, "not ready");
  SleepMs(4000);
  int result = 0;
  int acknowledged_rounds = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string job = "5c0e7a21d94b36f" + std::to_string(round);
    std::thread client([&] {
      (void)site.Submit(0, "visits", job, {6'500, 500}, 12'000);
    });
    SleepMs(500);
    if (HasTrouble()) {
      site.processes().Kill("entry-d", SIGKILL);
      record.Write("entry-d is killed");
      SleepMs(1000);
      site.StartEntry(3);
      record.Write("entry-d is started again");
    }
    std::optional<std::int64_t> acknowledged;
    const std::int64_t until = record.Now() + 3000;
    while (!acknowledged && record.Now() < until) {
      const Answer answer = site.Cancel(3, "visits", job);
      if (answer.status / 100 == 2 || answer.status == 410)
        acknowledged = record.Now();
      else
        SleepMs(10);
    }
    client.join();
    if (!acknowledged) continue;
    ++acknowledged_rounds;
    result = std::max(result,
                      Judge(site, job, *acknowledged + kCancelMs, "UNASKED"));
    SleepMs(2000);
  }
  if (acknowledged_rounds == 0)
    return Unable(site, "no cancelling was acknowledged");
  return result;
}

/// A job that has ended is cancelled; a copy of its request arrives seconds
/// after the 2xx answer to it.
int LateCopy(Record& record, const std::string& folder) {
  Site& site = MakeSite({3, 3, {0, 1, 2}}, folder, record);
  site.Publish(1, {"visits"});
  site.StartAll();
  if (!site.WaitUntilReady()) return Unable(site, "not ready");
  SleepMs(4000);
  int result = 0;
  for (int round = 0; round < 3; ++round) {
    const std::string job = "5c0e7a21d94b36f" + std::to_string(round);
    if (site.Submit(round, "visits", job, {200}, 1'500).status != 200)
      return Unable(site, "the job was not done");
    const Answer answer = site.Cancel(round, "visits", job);
    const std::int64_t acknowledged = record.Now();
    if (answer.status / 100 != 2 && answer.status != 410)
      return Unable(site, "the cancelling was not acknowledged");
    SleepMs(kCancelMs + 1000);
    if (HasTrouble()) {
      record.Write("a copy of the request arrives late");
      (void)site.Submit((round + 1) % 3, "visits", job, {200}, 1'500);
    }
    result =
        std::max(result, Judge(site, job, acknowledged + kCancelMs, "UNASKED"));
  }
  return result;
}

/// A running job is cancelled; all entries are killed and started again; a copy
/// of its request arrives seconds after the 2xx answer to it.
int AllKilled(Record& record, const std::string& folder) {
  Site& site = MakeSite({3, 3, {0, 1, 2}}, folder, record);
  site.Publish(1, {"visits"});
  site.StartAll();
  if (!site.WaitUntilReady()) return Unable(site, "not ready");
  SleepMs(4000);
  const std::string job = "5c0e7a21d94b36f8";
  Answer submitted;
  std::thread client([&] {
    submitted = site.Submit(0, "visits", job, {900, 900}, 5'000);
  });
  SleepMs(300);
  const Answer answer = site.Cancel(0, "visits", job);
  const std::int64_t acknowledged = record.Now();
  client.join();
  if (answer.status / 100 != 2)
    return Unable(site, "the cancelling was not acknowledged");
  if (submitted.status / 100 != 2)
    return Unable(site, "the request had no 2xx answer");
  SleepMs(500);
  if (HasTrouble()) {
    record.Write("all entries are killed");
    for (int i = 0; i < 3; ++i)
      site.processes().Kill(Site::EntryName(i), SIGKILL);
    SleepMs(1000);
    for (int i = 0; i < 3; ++i) site.StartEntry(i);
    record.Write("all entries are started again");
  }
  if (!site.WaitUntilReady()) return Unable(site, "not ready again");
  SleepMs(acknowledged + kCancelMs + 1500 - record.Now());
  record.Write("a copy of the request arrives late");
  (void)site.Submit(1, "visits", job, {900, 900}, 5'000);
  return Judge(site, job, acknowledged + kCancelMs, "UNASKED");
}

/// All processes are killed; the machines of the seeds are lost for good, the
/// others are back, with the settings that they had.
int SeedsGone(Record& record, const std::string& folder) {
  constexpr std::int64_t kRecoveryMs = 12'000;  // recovery-s
  constexpr int kRequests = 20;
  Site& site = MakeSite({4, 3, {0, 1, 2}}, folder, record);
  site.Publish(1, {"visits"});
  site.StartAll();
  if (!site.WaitUntilReady()) return Unable(site, "not ready");
  SleepMs(4000);
  const auto send = [&](int first) {
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "5c0e7a21d94b%04x", first + i);
      if (site.Submit(3, "visits", id, {60}, 1'500).status == 200) ++served;
      SleepMs(200);
    }
    return served;
  };
  const int before = send(0);
  record.Write("served before: " + std::to_string(before) + " of " +
               std::to_string(kRequests));
  if (before * 4 < kRequests)
    return Unable(site, "too few requests were served before");
  record.Write("all processes are killed");
  for (int i = 0; i < 4; ++i)
    site.processes().Kill(Site::EntryName(i), SIGKILL);
  for (int i = 0; i < 3; ++i)
    site.processes().Kill("agent-" + std::to_string(i), SIGKILL);
  SleepMs(1000);
  for (int i = HasTrouble() ? 3 : 0; i < 4; ++i) site.StartEntry(i);
  for (int i = 0; i < 3; ++i) site.StartAgent(i);
  record.Write(HasTrouble() ? "entry-d and all agents are back; the machines "
                              "of entry-a, entry-b and entry-c are lost"
                            : "all are back");
  SleepMs(kRecoveryMs + 500);
  const int after = send(kRequests);
  record.Write("served later than recovery-s after the machines were back: " +
               std::to_string(after) + " of " + std::to_string(kRequests));
  if (after * 4 >= kRequests) {
    record.Write("held: a quarter or more is served");
    return 0;
  }
  record.Write("BROKEN RECOVER: less than a quarter is served");
  return 1;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  review::Record record(argv[2]);
  const std::string name = argv[1];
  int result = 2;
  if (name == "route-removed") result = review::RouteRemoved(record, argv[3]);
  if (name == "entry-cut") result = review::EntryCut(record, argv[3]);
  if (name == "entry-restarted")
    result = review::EntryRestarted(record, argv[3]);
  if (name == "late-copy") result = review::LateCopy(record, argv[3]);
  if (name == "all-killed") result = review::AllKilled(record, argv[3]);
  if (name == "seeds-gone") result = review::SeedsGone(record, argv[3]);
  if (review::the_site != nullptr) review::the_site->processes().StopAll();
  record.Write("exit " + std::to_string(result));
  std::_Exit(result);
}
