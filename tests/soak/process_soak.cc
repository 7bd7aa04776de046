#include "soak/process_soak.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include "base/random.h"
#include "process/eventually.h"
#include "process/step_site.h"
#include "soak/fault_proxy.h"
#include "soak/soak_callers.h"

namespace geranium::soak {
namespace {

using process::StepSite;
using Json = StepSite::Json;

constexpr Duration kStep{10};
/// A fault lasts at least and at most this long.
constexpr std::int64_t kShortestMs = 50;
constexpr std::size_t kFaultSpanMs = 2200;
/// A process that was killed is started again after up to this long.
constexpr std::size_t kRestartMs = 1500;
constexpr int kMostFaults = 16;
constexpr int kMostPlanned = 6;
constexpr std::size_t kMostDelayMs = 120;
/// The platform's bound from the end of trouble until service is back.
constexpr Duration kRecovery{12'000};
constexpr Duration kStartLimit{15'000};
/// From SIGTERM to the end of a process, as the platform allows.
constexpr Duration kGrace{6000};
constexpr double kUnanswered = 0.1;

class Run {
 public:
  explicit Run(const ProcessSoakOptions& options)
      : options_(options),
        random_(options.seed),
        site_({options.port, options.entries, options.workers, true}) {
    Forward();
    Await([this] { return site_.Publish(StepSite::Manifest(version_)); },
          "the operator's log does not answer");
    Await([this] { return site_.IsReady(); }, "the entries are not ready");
    start_ = clock_.Now();
  }

  ProcessSoakReport Play() {
    std::vector<std::string> entries;
    for (int i = 0; i < options_.entries; ++i) {
      entries.push_back(site_.Seen(site_.Callers(i)));
    }
    SoakCallers callers(entries, options_.callers, options_.seed);
    callers.SetCutsAllowed(!options_.is_planned);
    Plan();
    PlayUntil(start_ + options_.length);
    // What is still to end, heal or start again does so.
    while (!events_.empty()) PlayUntil(events_.begin()->first);
    CheckRecovery();
    callers.StopHandingIn();
    if (!AwaitQuietly([&] { return callers.open() == 0; }, kRecovery)) {
      Violate(std::to_string(callers.open()) + " jobs have no final answer");
    }
    CheckProcesses();
    Judge(callers.totals());
    return report_;
  }

 private:
  void Forward() {
    for (int i = 0; i < options_.entries; ++i) {
      for (const std::string& address : {site_.Link(i), site_.Callers(i)}) {
        Forward(site_.Seen(address), address);
      }
      Forward(site_.StoreSeenBy(i), site_.Store());
    }
    for (int i = 0; i < options_.workers; ++i) {
      for (const std::string& address :
           {site_.Worker(i), site_.Registration(i)}) {
        Forward(site_.Seen(address), address);
      }
    }
  }

  void Forward(const std::string& listen, const std::string& target) {
    proxy_.Forward(listen, target);
    paths_.push_back(listen);
  }

  // ---- the plan

  void At(TimePoint when, std::function<void()> what) {
    events_.emplace(when, std::move(what));
  }

  void PlayUntil(TimePoint until) {
    while (clock_.Now() < until) {
      PlayDue();
      std::this_thread::sleep_for(std::chrono::milliseconds(kStep.ms()));
    }
    PlayDue();
  }

  void PlayDue() {
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
  }

  void Plan() {
    const int faults =
        4 + static_cast<int>(random_.Below(
                options_.is_planned ? kMostPlanned - 3 : kMostFaults - 3));
    const auto length = static_cast<std::size_t>(options_.length.ms());
    for (int i = 0; i < faults; ++i) {
      const auto when = static_cast<std::int64_t>(random_.Below(length));
      At(start_ + Duration(when), [this] { Strike(); });
    }
  }

  void Strike() {
    const Duration span(kShortestMs +
                        static_cast<std::int64_t>(random_.Below(kFaultSpanMs)));
    const int entry = Pick(options_.entries);
    const int worker = Pick(options_.workers);
    const bool at_entry = random_.Chance(0.4);
    const std::string name =
        at_entry ? StepSite::EntryName(entry) : StepSite::AgentName(worker);
    if (options_.is_planned) {
      StrikePlanned(name, at_entry ? entry : worker, at_entry);
      return;
    }
    switch (random_.Below(10)) {
      case 0:
      case 1:
        return Kill(name, at_entry ? entry : worker, at_entry);
      case 2:
        return Pause(name, span);
      case 3:
        return StrikePlanned(name, at_entry ? entry : worker, at_entry);
      case 4:
      case 5:
      case 6:
        return StrikePath(span);
      case 7:
        return StrikeStore(span);
      default:
        return StrikeWorker(worker, span);
    }
  }

  int Pick(int count) {
    return static_cast<int>(random_.Below(static_cast<std::size_t>(count)));
  }

  void Note(const std::string& kind, const std::string& what) {
    ++report_.faults[kind];
    report_.events.push_back(std::to_string((clock_.Now() - start_).ms()) +
                             " ms: " + kind + " " + what);
  }

  void Start(int index, bool is_entry) {
    if (is_entry) {
      site_.StartEntry(index);
    } else {
      site_.StartAgent(index);
    }
  }

  void StartLater(const std::string& name, int index, bool is_entry) {
    const Duration pause(static_cast<std::int64_t>(random_.Below(kRestartMs)));
    At(clock_.Now() + pause, [this, name, index, is_entry] {
      Start(index, is_entry);
      down_.erase(name);
    });
  }

  void Kill(const std::string& name, int index, bool is_entry) {
    if (!down_.insert(name).second) return;
    Note("kill", name);
    site_.processes().Signal(name, SIGKILL);
    site_.processes().AwaitExit(name);
    StartLater(name, index, is_entry);
  }

  void Pause(const std::string& name, Duration span) {
    if (!down_.insert(name).second) return;
    Note("pause", name + " for " + std::to_string(span.ms()) + " ms");
    site_.processes().Signal(name, SIGSTOP);
    At(clock_.Now() + span, [this, name] {
      site_.processes().Signal(name, SIGCONT);
      down_.erase(name);
    });
  }

  void StrikePlanned(const std::string& name, int index, bool is_entry) {
    const std::size_t kind = random_.Below(3);
    if (kind == 0) {
      ++version_;
      Note("manifest", std::to_string(version_));
      site_.Publish(StepSite::Manifest(version_));
    } else if (kind == 1) {
      if (down_.contains(name)) return;
      Note("reload", name);
      site_.processes().Signal(name, SIGHUP);
    } else {
      // One at a time, as operators do; more of them would be an outage.
      if (!down_.empty() && options_.is_planned) return;
      if (!down_.insert(name).second) return;
      Note("terminate", name);
      site_.processes().Signal(name, SIGTERM);
      AwaitEnd(name, index, is_entry, clock_.Now());
    }
  }

  void AwaitEnd(const std::string& name, int index, bool is_entry,
                TimePoint since) {
    At(clock_.Now() + kStep, [this, name, index, is_entry, since] {
      if (site_.processes().HasExited(name)) {
        const int status = site_.processes().AwaitExit(name);
        if (status != 0 && options_.is_planned) {
          Violate(name + " ended with status " + std::to_string(status));
        }
        StartLater(name, index, is_entry);
      } else if (clock_.Now() - since > kGrace) {
        Violate(name + " did not end within its grace time");
        site_.processes().Signal(name, SIGKILL);
        site_.processes().AwaitExit(name);
        StartLater(name, index, is_entry);
      } else {
        AwaitEnd(name, index, is_entry, since);
      }
    });
  }

  void StrikePath(Duration span) {
    const std::string& path = paths_[random_.Below(paths_.size())];
    PathFault fault;
    fault.one_connection = random_.Chance(0.5);
    std::string kind;
    switch (random_.Below(5)) {
      case 0:
        kind = "delay";
        fault.delay = Duration(
            1 + static_cast<std::int64_t>(random_.Below(kMostDelayMs)));
        break;
      case 1:
        kind = "reset";
        fault.reset = true;
        break;
      case 2:
        kind = "silent-out";
        fault.silent_out = true;
        break;
      case 3:
        kind = "silent-back";
        fault.silent_back = true;
        break;
      default:
        kind = "silent";
        fault.silent_out = true;
        fault.silent_back = true;
    }
    Note(kind, path + (fault.one_connection ? " one connection" : "") +
                   " for " + std::to_string(span.ms()) + " ms");
    proxy_.SetFault(path, fault);
    // A connection that has gone silent alone stays so until it is given up.
    if (fault.one_connection) return;
    At(clock_.Now() + span,
       [this, path] { proxy_.SetFault(path, PathFault{}); });
  }

  void StrikeStore(Duration span) {
    const std::size_t kind = random_.Below(3);
    if (kind == 0) {
      Note("store-forgets", "");
      site_.Control("store", {{"forget", true}});
      return;
    }
    Note(kind == 1 ? "store-busy" : "store-silent",
         std::to_string(span.ms()) + " ms");
    site_.Control("store", {{"up", kind != 1}, {"silent", kind == 2}});
    At(clock_.Now() + span, [this] { site_.Control("store", Json::object()); });
  }

  void StrikeWorker(int worker, Duration span) {
    const std::vector<std::string> kinds = {"restart", "unanswered", "draining",
                                            "hangs"};
    const std::string& kind = kinds[random_.Below(kinds.size())];
    Note("worker-" + kind, std::to_string(worker));
    Json fault = {{"worker", worker}};
    if (kind == "unanswered") {
      fault[kind] = kUnanswered;
    } else {
      fault[kind] = true;
    }
    site_.Control("worker", fault);
    // A worker that has said that it leaves ends, and a new one comes.
    const Json after = {{"worker", worker}, {"restart", kind == "draining"}};
    At(clock_.Now() + (kind == "draining" ? span * 3 : span),
       [this, after] { site_.Control("worker", after); });
  }

  // ---- what has to hold

  void Violate(const std::string& what) { report_.violations.push_back(what); }

  bool AwaitQuietly(const std::function<bool()>& holds, Duration limit) {
    return process::Eventually(holds, limit);
  }

  void Await(const std::function<bool()>& holds, const std::string& problem) {
    if (!AwaitQuietly(holds, kStartLimit)) throw std::runtime_error(problem);
  }

  void CheckRecovery() {
    proxy_.HealAll();
    site_.Control("store", Json::object());
    for (int i = 0; i < options_.workers; ++i) {
      site_.Control("worker", {{"worker", i}});
    }
    int served = 0;
    const bool recovered = AwaitQuietly(
        [&] {
          const int entry = served % options_.entries;
          char id[17];
          std::snprintf(id, sizeof(id), "ffff%012d", ++probes_);
          const auto answer = site_.Submit(entry, id, 50, 2);
          served = answer.status == 200 ? served + 1 : 0;
          return served >= 2 * options_.entries;
        },
        kRecovery);
    if (!recovered) Violate("not all entries serve again after the faults");
  }

  void CheckProcesses() {
    for (int i = 0; i < options_.entries; ++i) {
      CheckAlive(StepSite::EntryName(i));
    }
    for (int i = 0; i < options_.workers; ++i) {
      CheckAlive(StepSite::AgentName(i));
    }
  }

  void CheckAlive(const std::string& name) {
    if (site_.processes().HasExited(name)) Violate(name + " ended by itself");
  }

  void Judge(const SoakCallers::Totals& totals) {
    report_.completed = totals.completed;
    report_.refused = totals.refused;
    report_.sent_again = totals.sent_again;
    for (const std::string& each : totals.violations) Violate(each);
    const Json judged = site_.Judge();
    for (const auto& each : judged.at("violations")) {
      Violate(each.get<std::string>());
    }
    for (const auto& started : judged.at("started")) {
      if (totals.refused_jobs.contains(started.get<std::string>())) {
        Violate(started.get<std::string>() + " was refused and has run");
      }
    }
    if (totals.completed == 0) Violate("no job was completed");
  }

  ProcessSoakOptions options_;
  Random random_;
  SystemClock clock_;
  FaultProxy proxy_;
  StepSite site_;
  TimePoint start_;
  int version_ = 3;
  int probes_ = 0;
  std::vector<std::string> paths_;
  std::set<std::string> down_;  ///< Not running, or about to end.
  std::multimap<TimePoint, std::function<void()>> events_;
  ProcessSoakReport report_;
};

}  // namespace

ProcessSoakReport RunProcessSoak(const ProcessSoakOptions& options) {
  return Run(options).Play();
}

}  // namespace geranium::soak
