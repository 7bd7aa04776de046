#include <algorithm>
#include <cmath>
#include <utility>

#include "step_simulator.h"
#include "step_simulator_parts.h"

namespace geranium::standins {
WorkerFaults& StepSimulator::faults(int worker) {
  return agents_[static_cast<std::size_t>(worker)]->worker->faults();
}

SizedWorker& StepSimulator::worker(int index) {
  return *agents_[static_cast<std::size_t>(index)]->worker;
}

const WorkerSession& StepSimulator::session(int worker) const {
  return *agents_[static_cast<std::size_t>(worker)]->session;
}

const StepEntryNode& StepSimulator::entry(int index) const {
  return *entries_[static_cast<std::size_t>(index)]->node;
}

void StepSimulator::KillAgent(int worker, Duration down) {
  Agent& agent = *agents_[static_cast<std::size_t>(worker)];
  if (!agent.alive) return;
  agent.alive = false;
  for (const LinkId link :
       FindLinks([&](const LinkEnds& ends) { return ends.agent == worker; })) {
    CloseEnd(link, true);
  }
  At(now_ + down, [this, worker] { StartAgent(worker); });
}

void StepSimulator::FreezeAgent(int worker, Duration span) {
  agents_[static_cast<std::size_t>(worker)]->frozen_until = now_ + span;
}

void StepSimulator::RestartWorker(int worker, Duration down,
                                  std::optional<Resources> capacity,
                                  Duration unannounced) {
  Agent& agent = *agents_[static_cast<std::size_t>(worker)];
  if (!agent.worker_alive) return;
  agent.worker_alive = false;
  ++agent.worker_life;
  At(now_ + down, [this, worker, capacity, unannounced] {
    Agent& target = *agents_[static_cast<std::size_t>(worker)];
    target.worker->Restart(now_, capacity);
    target.worker_alive = true;
    target.worker_refuses = false;
    target.next_announcement = now_ + unannounced;
  });
}

void StepSimulator::SilenceWorker(int worker, Duration span, Silence silence) {
  Agent& agent = *agents_[static_cast<std::size_t>(worker)];
  agent.silent_until = now_ + span;
  agent.silence = silence;
}

void StepSimulator::CrashWorker(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  std::set<std::size_t> ran;
  for (const TaskRun& run : agent.worker->running()) {
    const std::string& task = run.task.value();
    ran.insert(std::stoul(task.substr(0, task.find('.')), nullptr, 16) - 1);
    if (task_behaviours_.at(task).crashes_worker) ++crashes_[task];
  }
  for (const std::size_t job : ran) ++jobs_[job]->bystander_crashes;
  agent.worker_refuses = true;
  RestartWorker(index, options_.worker_restart);
}

int StepSimulator::CountCrashes(int job) const {
  const auto found = crashes_.find(
      jobs_[static_cast<std::size_t>(job)]->spec.id.value() + ".0.0.0");
  return found == crashes_.end() ? 0 : found->second;
}

int StepSimulator::CountCrashes() const {
  int sum = 0;
  for (const auto& [task, crashes] : crashes_) sum += crashes;
  return sum;
}

void StepSimulator::SetCrashingShare(const std::string& kind, double share) {
  for (LoadClass& each : options_.load) {
    if (each.name == kind) each.crashing_share = share;
  }
}

void StepSimulator::KillEntry(int index, Duration down) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  if (!entry.alive) return;
  DropCallers(index);
  entry.alive = false;
  for (const LinkId link : FindLinks([&](const LinkEnds& ends) {
         return ends.entry == index || ends.first_entry == index;
       })) {
    CloseEnd(link, links_.at(link).entry != index);
  }
  At(now_ + down, [this, index] { StartEntry(index); });
}

void StepSimulator::ResetEntryLinks(int index) {
  for (const LinkId link : FindLinks([&](const LinkEnds& ends) {
         return ends.agent < 0 &&
                (ends.entry == index || ends.first_entry == index);
       })) {
    BreakLink(link);
  }
}

void StepSimulator::ResetAgentLinks(int index, double share) {
  for (const LinkId link : FindLinks([&](const LinkEnds& ends) {
         return ends.agent >= 0 && ends.entry == index;
       })) {
    if (caller_random_.Chance(share)) BreakLink(link);
  }
}

void StepSimulator::FreezeEntry(int index, Duration span) {
  entries_[static_cast<std::size_t>(index)]->frozen_until = now_ + span;
}

void StepSimulator::DropCallers(int index, double share,
                                std::optional<Duration> notice) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  std::vector<CallerHandle> dropped;
  for (const auto& [caller, number] : entry.callers) {
    if (share < 1 && !caller_random_.Chance(share)) continue;
    dropped.push_back(caller);
    Job& job = *jobs_[static_cast<std::size_t>(number)];
    if (!job.IsCurrent(caller) || job.answer) continue;
    job.connection_lost = true;
    const std::uint64_t lost = ++job.attempt;
    At(now_ + options_.resend_delay, [this, number = number, index, lost] {
      if (jobs_[static_cast<std::size_t>(number)]->attempt != lost) return;
      SendJob(number, NextEntry(index));
    });
  }
  if (!notice) return;
  const std::uint64_t incarnation = entry.incarnation;
  const auto tell = [this, index, incarnation, dropped] {
    Entry& target = *entries_[static_cast<std::size_t>(index)];
    if (!target.alive || target.incarnation != incarnation) return;
    for (const CallerHandle caller : dropped) {
      target.node->OnCallerGone(caller, now_);
    }
    RunEntryActions(index);
  };
  if (now_ + *notice < entry.frozen_until) {
    // It reads the ends of connections among all else that has arrived.
    At(entry.frozen_until +
           Duration(static_cast<std::int64_t>(caller_random_.Below(30))),
       tell);
  } else if (*notice > Duration(0)) {
    At(now_ + *notice, tell);
  } else {
    tell();
  }
}

void StepSimulator::PartitionAgent(int worker, Duration span) {
  for (int i = 0; i < options_.entries; ++i) {
    PartitionNodes(i, options_.entries + worker, span);
  }
}

void StepSimulator::PartitionNodes(int one, int other, Duration span) {
  BlockTraffic(one, other, span);
  BlockTraffic(other, one, span);
}

void StepSimulator::BlockTraffic(int from, int to, Duration span) {
  TimePoint& until = blocked_until_[{from, to}];
  until = std::max(until, now_ + span);
}

void StepSimulator::SplitEntries(const std::set<int>& half, Duration span) {
  for (int i = 0; i < options_.entries; ++i) {
    for (const int member : half) {
      if (!half.contains(i)) PartitionNodes(member, i, span);
    }
  }
}

void StepSimulator::SetOutOfService(const std::string& data_centre, bool out) {
  if (out) {
    data_centres_out_.insert(data_centre);
  } else {
    data_centres_out_.erase(data_centre);
  }
  ++table_offset_;
  for (int i = 0; i < options_.entries; ++i) PublishRouteTable(i);
}

void StepSimulator::CutFromStore(int entry, Duration span) {
  entries_[static_cast<std::size_t>(entry)]->no_store_until = now_ + span;
}

void StepSimulator::PublishRouteTable(int index) {
  const Entry& entry = *entries_[static_cast<std::size_t>(index)];
  if (now_ < entry.no_store_until) {
    return At(entry.no_store_until,
              [this, index] { PublishRouteTable(index); });
  }
  if (!entry.alive) return;
  entry.node->OnRouteTable(MakeRouteTable(), "operator", now_);
  RunEntryActions(index);
}

void StepSimulator::LeaveAgent(int worker) {
  agents_[static_cast<std::size_t>(worker)]->session->Leave(now_);
  RunAgentActions(worker);
}

void StepSimulator::LeaveEntry(int index, Duration grace) {
  entries_[static_cast<std::size_t>(index)]->node->Leave(now_ + grace);
}

}  // namespace geranium::standins
