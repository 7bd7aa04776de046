#include "entry/crash_history.h"

#include <algorithm>

namespace geranium {
namespace {

/// A route is isolated once this many crashes within `kCrashPeriod` speak
/// against it, and more than against any other route.
constexpr std::size_t kCrashesToIsolate = 3;
constexpr Duration kCrashPeriod{5000};
/// Isolation ends when jobs of the route could run for this long without a
/// crash.
constexpr Duration kCleanPeriod{2000};
/// Ticks further apart than this show nothing about the time between them.
constexpr Duration kLongestTick{100};
/// Longer than callers wait for a job, however often they send it.
constexpr Duration kSuspectMemory{60'000};

// Names begin with the id of their job, and a dot (`NameOf`).
StepJobId JobOf(const TaskName& task) {
  return StepJobId(task.value().substr(0, task.value().find('.')));
}

}  // namespace

void CrashHistory::AddSuspect(const TaskName& task, TimePoint now) {
  const bool is_full = suspects_.size() >= kMaxSuspects;
  if (is_full && !suspects_.contains(task)) return;
  Suspect& suspect = suspects_[task];
  ++suspect.crashes;
  suspect.last = now;
  Suspect& job = suspect_jobs_[JobOf(task)];
  job.crashes = std::max(job.crashes, suspect.crashes);
  job.last = now;
}

int CrashHistory::CountCrashes(const TaskName& task) const {
  const auto found = suspects_.find(task);
  return found == suspects_.end() ? 0 : found->second.crashes;
}

int CrashHistory::CountCrashesOfJob(const StepJobId& job) const {
  const auto found = suspect_jobs_.find(job);
  return found == suspect_jobs_.end() ? 0 : found->second.crashes;
}

void CrashHistory::ForgetOldSuspects(TimePoint now) {
  const auto is_old = [&](const auto& item) {
    return now - item.second.last > kSuspectMemory;
  };
  std::erase_if(suspects_, is_old);
  std::erase_if(suspect_jobs_, is_old);
}

std::string CrashHistory::OnCrash(const std::vector<std::string>& routes,
                                  TimePoint now) {
  bool explained = false;
  for (const std::string& route : routes) {
    const auto isolated = clean_for_.find(route);
    if (isolated == clean_for_.end()) continue;
    isolated->second = Duration(0);
    explained = true;
  }
  if (explained || routes.empty()) return "";
  unexplained_.push_back({now, {routes.begin(), routes.end()}});
  while (now - unexplained_.front().at > kCrashPeriod) unexplained_.pop_front();
  const std::string suspect = MostSuspected();
  if (suspect.empty()) return "";
  clean_for_[suspect] = Duration(0);
  std::erase_if(unexplained_, [&](const Crash& crash) {
    return crash.routes.contains(suspect);
  });
  return suspect;
}

std::string CrashHistory::MostSuspected() const {
  std::map<std::string, std::size_t> counts;
  for (const Crash& crash : unexplained_) {
    for (const std::string& route : crash.routes) ++counts[route];
  }
  std::string most;
  std::size_t highest = kCrashesToIsolate - 1;
  for (const auto& [route, count] : counts) {
    if (count == highest) most.clear();
    if (count <= highest) continue;
    most = route;
    highest = count;
  }
  return most;
}

std::vector<std::string> CrashHistory::OnTick(bool exposed, TimePoint now) {
  ForgetOldSuspects(now);
  const Duration passed = std::min(now - last_tick_, kLongestTick);
  last_tick_ = now;
  std::vector<std::string> cleared;
  if (!exposed) return cleared;
  for (auto& [route, clean] : clean_for_) {
    clean = clean + passed;
    if (clean >= kCleanPeriod) cleared.push_back(route);
  }
  for (const std::string& route : cleared) clean_for_.erase(route);
  return cleared;
}

}  // namespace geranium
