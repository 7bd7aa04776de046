#include <algorithm>
#include <cmath>
#include <utility>

#include "step_simulator.h"
#include "step_simulator_parts.h"

namespace geranium::standins {
namespace {

constexpr Duration kRedialInterval{60};
constexpr char kEntryPrefix[] = "entry-";

std::string EntryAddress(int index) {
  return kEntryPrefix + std::to_string(index);
}

int EntryIndex(const std::string& address) {
  return std::stoi(address.substr(sizeof(kEntryPrefix) - 1));
}

}  // namespace

void StepSimulator::StartEntry(int index) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  StepEntryOptions options;
  options.id = EntryId("entry-" + std::to_string(index));
  options.incarnation = Incarnation(next_incarnation_++);
  options.link_address = EntryAddress(index);
  options.scheduler = options_.scheduler;
  options.scheduler.incarnation = options.incarnation;
  options.scheduler.data_centre = DataCentreName("dc-" + std::to_string(index));
  entry.node = std::make_unique<StepEntryNode>(options);
  entry.alive = true;
  ++entry.incarnation;
  entry.callers.clear();
  entry.node->OnRouteTable(MakeRouteTable(), "operator", now_);
  for (int i = 0; i < options_.entries; ++i) {
    if (i != index) DialEntry(index, i);
  }
}

void StepSimulator::StartAgent(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  WorkerSessionOptions options;
  options.name = agent.name;
  options.incarnation = Incarnation(next_incarnation_++);
  options.first_fencing_token = static_cast<std::uint64_t>(now_.ms());
  options.entry_links = options_.entry_links;
  agent.session = std::make_unique<WorkerSession>(options);
  agent.alive = true;
  ++agent.incarnation;
  agent.next_announcement = now_;
  std::vector<std::string> addresses;
  for (int i = 0; i < options_.entries; ++i) {
    addresses.push_back(EntryAddress(i));
  }
  agent.dialled_entries.clear();
  agent.session->AddEntries(addresses, now_);
  RunAgentActions(index);
}

void StepSimulator::ConnectAgent(int index, const std::string& address) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const int entry = EntryIndex(address);
  if (agent.dialled_entries.insert(entry).second) Dial(index, entry);
}

void StepSimulator::DisconnectAgent(int index, const std::string& address) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const int entry = EntryIndex(address);
  agent.dialled_entries.erase(entry);
  for (const auto& [link, ends] : links_) {
    if (ends.agent != index || ends.entry != entry) continue;
    At(now_, [this, link = link] { BreakLink(link); });
  }
}

bool StepSimulator::IsPartitioned(int from, int to) const {
  return partitions_.contains({std::min(from, to), std::max(from, to)});
}

void StepSimulator::Dial(int index, int entry_index) {
  const Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const Entry& entry = *entries_[static_cast<std::size_t>(entry_index)];
  const std::uint64_t incarnation = agent.incarnation;
  if (!agent.dialled_entries.contains(entry_index)) return;
  const bool linked =
      std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
        const LinkEnds& ends = item.second;
        return ends.agent == index && ends.entry == entry_index &&
               ends.first_incarnation == incarnation;
      });
  if (linked) return;
  const bool reachable = agent.alive && entry.alive &&
                         now_ >= entry.frozen_until &&
                         now_ >= agent.frozen_until &&
                         !IsPartitioned(options_.entries + index, entry_index);
  if (!reachable) {
    At(now_ + kRedialInterval, [this, index, entry_index, incarnation] {
      if (agents_[static_cast<std::size_t>(index)]->incarnation ==
          incarnation) {
        Dial(index, entry_index);
      }
    });
    return;
  }
  const LinkId link(next_link_++);
  links_[link] =
      LinkEnds{index, -1, entry_index, agent.incarnation, entry.incarnation};
  agent.session->OnLinkUp(link, now_);
  entry.node->OnLinkUp(link, now_);
  RunAgentActions(index);
  RunEntryActions(entry_index);
}

void StepSimulator::DialEntry(int from, int to) {
  const Entry& first = *entries_[static_cast<std::size_t>(from)];
  const Entry& second = *entries_[static_cast<std::size_t>(to)];
  const std::uint64_t incarnation = first.incarnation;
  if (!first.alive || !second.alive || IsPartitioned(from, to)) {
    At(now_ + kRedialInterval, [this, from, to, incarnation] {
      if (entries_[static_cast<std::size_t>(from)]->incarnation ==
          incarnation) {
        DialEntry(from, to);
      }
    });
    return;
  }
  const LinkId link(next_link_++);
  links_[link] = LinkEnds{-1, from, to, first.incarnation, second.incarnation};
  first.node->OnLinkUp(link, now_);
  second.node->OnLinkUp(link, now_);
  RunEntryActions(from);
  RunEntryActions(to);
}

void StepSimulator::BreakLink(LinkId link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const LinkEnds ends = found->second;
  links_.erase(found);
  Entry& entry = *entries_[static_cast<std::size_t>(ends.entry)];
  if (entry.alive && entry.incarnation == ends.entry_incarnation) {
    entry.node->OnLinkDown(link, now_);
  }
  if (ends.agent >= 0) {
    Agent& agent = *agents_[static_cast<std::size_t>(ends.agent)];
    if (agent.alive && agent.incarnation == ends.first_incarnation) {
      agent.session->OnLinkDown(link, now_);
      At(now_ + kRedialInterval, [this, ends, incarnation = agent.incarnation] {
        if (agents_[static_cast<std::size_t>(ends.agent)]->incarnation ==
            incarnation) {
          Dial(ends.agent, ends.entry);
        }
      });
    }
    return;
  }
  Entry& first = *entries_[static_cast<std::size_t>(ends.first_entry)];
  if (!first.alive || first.incarnation != ends.first_incarnation) return;
  first.node->OnLinkDown(link, now_);
  At(now_ + kRedialInterval, [this, ends, incarnation = first.incarnation] {
    if (entries_[static_cast<std::size_t>(ends.first_entry)]->incarnation ==
        incarnation) {
      DialEntry(ends.first_entry, ends.entry);
    }
  });
}

void StepSimulator::Deliver(LinkId link, bool to_second,
                            const Message& message) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const LinkEnds ends = found->second;
  const int first =
      ends.agent >= 0 ? options_.entries + ends.agent : ends.first_entry;
  if (IsPartitioned(first, ends.entry)) {
    // Retried until the partition ends.
    At(now_ + Duration(20),
       [this, link, to_second, message] { Deliver(link, to_second, message); });
    return;
  }
  const int entry_index = to_second ? ends.entry : ends.first_entry;
  if (!to_second && ends.agent >= 0) {
    Agent& agent = *agents_[static_cast<std::size_t>(ends.agent)];
    if (!agent.alive || agent.incarnation != ends.first_incarnation) return;
    if (now_ < agent.frozen_until) {
      At(agent.frozen_until, [this, link, to_second, message] {
        Deliver(link, to_second, message);
      });
      return;
    }
    agent.session->OnMessage(link, message, now_);
    RunAgentActions(ends.agent);
    return;
  }
  Entry& entry = *entries_[static_cast<std::size_t>(entry_index)];
  const std::uint64_t incarnation =
      to_second ? ends.entry_incarnation : ends.first_incarnation;
  if (!entry.alive || entry.incarnation != incarnation) return;
  if (now_ < entry.frozen_until) {
    At(entry.frozen_until,
       [this, link, to_second, message] { Deliver(link, to_second, message); });
    return;
  }
  entry.node->OnMessage(link, message, now_);
  entry.node->OnFrameEnd(now_);
  RunEntryActions(entry_index);
}

void StepSimulator::RunEntryActions(int index) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  for (StepAction& action : entry.node->TakeActions()) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      const auto found = links_.find(send->link);
      if (found == links_.end()) continue;
      const bool to_second =
          found->second.entry != index ||
          found->second.entry_incarnation != entry.incarnation;
      At(now_ + options_.link_delay,
         [this, link = send->link, to_second, message = send->message] {
           Deliver(link, to_second, message);
         });
    } else if (auto* answer = std::get_if<AnswerStepJob>(&action)) {
      OnAnswer(index, *answer);
    } else if (auto* close = std::get_if<CloseLink>(&action)) {
      At(now_, [this, link = close->link] { BreakLink(link); });
    } else if (auto* message = std::get_if<LogMessage>(&action)) {
      RecordLogMessage("entry-" + std::to_string(index), *message);
    }
  }
}

}  // namespace geranium::standins
