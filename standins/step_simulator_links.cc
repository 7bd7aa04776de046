#include <algorithm>
#include <cmath>
#include <utility>

#include "step_simulator.h"
#include "step_simulator_parts.h"

namespace geranium::standins {
namespace {

constexpr Duration kRedialInterval{60};
/// At which blocked messages are tried again.
constexpr Duration kResendInterval{20};
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
  options.scheduler.placement.data_centre =
      DataCentreName("dc-" + std::to_string(index));
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
  options.capacity_hold = options_.capacity_hold;
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
  for (const LinkId link : FindLinks([&](const LinkEnds& ends) {
         return ends.agent == index && ends.entry == entry;
       })) {
    At(now_, [this, link] { CloseEnd(link, true); });
  }
}

bool StepSimulator::IsBlocked(int from, int to) const {
  const auto found = blocked_until_.find({from, to});
  return found != blocked_until_.end() && now_ < found->second;
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
               ends.first_incarnation == incarnation && ends.first_open;
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
  LinkEnds ends;
  ends.agent = index;
  ends.entry = entry_index;
  ends.first_incarnation = agent.incarnation;
  ends.entry_incarnation = entry.incarnation;
  links_[link] = std::move(ends);
  agent.session->OnLinkUp(link, now_);
  entry.node->OnLinkUp(link, now_);
  RunAgentActions(index);
  RunEntryActions(entry_index);
}

void StepSimulator::DialEntry(int from, int to) {
  const Entry& first = *entries_[static_cast<std::size_t>(from)];
  const Entry& second = *entries_[static_cast<std::size_t>(to)];
  const std::uint64_t incarnation = first.incarnation;
  if (!first.alive || !second.alive || now_ < first.frozen_until ||
      now_ < second.frozen_until || IsPartitioned(from, to)) {
    At(now_ + kRedialInterval, [this, from, to, incarnation] {
      if (entries_[static_cast<std::size_t>(from)]->incarnation ==
          incarnation) {
        DialEntry(from, to);
      }
    });
    return;
  }
  const LinkId link(next_link_++);
  LinkEnds ends;
  ends.first_entry = from;
  ends.entry = to;
  ends.first_incarnation = first.incarnation;
  ends.entry_incarnation = second.incarnation;
  links_[link] = std::move(ends);
  first.node->OnLinkUp(link, now_);
  second.node->OnLinkUp(link, now_);
  RunEntryActions(from);
  RunEntryActions(to);
}

std::vector<LinkId> StepSimulator::FindLinks(
    const std::function<bool(const LinkEnds&)>& matches) const {
  std::vector<LinkId> found;
  for (const auto& [link, ends] : links_) {
    if (matches(ends)) found.push_back(link);
  }
  return found;
}

void StepSimulator::BreakLink(LinkId link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  found->second.to_first.arrivals.clear();
  found->second.to_second.arrivals.clear();
  const LinkEnds& ends = found->second;
  const TimePoint first_frozen_until =
      ends.agent >= 0
          ? agents_[static_cast<std::size_t>(ends.agent)]->frozen_until
          : entries_[static_cast<std::size_t>(ends.first_entry)]->frozen_until;
  const TimePoint second_frozen_until =
      entries_[static_cast<std::size_t>(ends.entry)]->frozen_until;
  const auto close = [this, link](TimePoint frozen_until, bool first) {
    if (now_ >= frozen_until) return CloseEnd(link, first);
    At(frozen_until, [this, link, first] { CloseEnd(link, first); });
  };
  close(second_frozen_until, false);
  close(first_frozen_until, true);
}

void StepSimulator::CloseEnd(LinkId link, bool first) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  LinkEnds& ends = found->second;
  bool& open = first ? ends.first_open : ends.second_open;
  if (!open) return;
  open = false;
  SendOnLink(link, first, std::nullopt);
  const LinkEnds closed = ends;
  if (!ends.first_open && !ends.second_open) links_.erase(found);
  if (!first) {
    Entry& entry = *entries_[static_cast<std::size_t>(closed.entry)];
    if (!entry.alive || entry.incarnation != closed.entry_incarnation) return;
    entry.node->OnLinkDown(link, now_);
    return RunEntryActions(closed.entry);
  }
  if (closed.agent >= 0) {
    Agent& agent = *agents_[static_cast<std::size_t>(closed.agent)];
    if (!agent.alive || agent.incarnation != closed.first_incarnation) return;
    agent.session->OnLinkDown(link, now_);
    RunAgentActions(closed.agent);
  } else {
    Entry& entry = *entries_[static_cast<std::size_t>(closed.first_entry)];
    if (!entry.alive || entry.incarnation != closed.first_incarnation) return;
    entry.node->OnLinkDown(link, now_);
    RunEntryActions(closed.first_entry);
  }
  At(now_ + kRedialInterval, [this, closed] {
    const bool is_agent = closed.agent >= 0;
    const std::uint64_t incarnation =
        is_agent ? agents_[static_cast<std::size_t>(closed.agent)]->incarnation
                 : entries_[static_cast<std::size_t>(closed.first_entry)]
                       ->incarnation;
    if (incarnation != closed.first_incarnation) return;
    if (is_agent) return Dial(closed.agent, closed.entry);
    DialEntry(closed.first_entry, closed.entry);
  });
}

void StepSimulator::SendOnLink(LinkId link, bool to_second,
                               std::optional<Message> message) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  LinkEnds& ends = found->second;
  const bool sender_open = to_second ? ends.first_open : ends.second_open;
  if (message && !sender_open) return;
  LinkEnds::Direction& direction = to_second ? ends.to_second : ends.to_first;
  const TimePoint when = now_ + options_.link_delay;
  direction.arrivals.push_back({when, std::move(message)});
  At(when, [this, link, to_second] { Deliver(link, to_second); });
}

void StepSimulator::Deliver(LinkId link, bool to_second) {
  while (DeliverNext(link, to_second)) {
  }
}

// False if nothing more has arrived, or it has to wait.
bool StepSimulator::DeliverNext(LinkId link, bool to_second) {
  const auto found = links_.find(link);
  if (found == links_.end()) return false;
  LinkEnds& ends = found->second;
  LinkEnds::Direction& direction = to_second ? ends.to_second : ends.to_first;
  if (direction.arrivals.empty() || direction.arrivals.front().at > now_) {
    return false;
  }
  const bool to_agent = !to_second && ends.agent >= 0;
  const int first =
      ends.agent >= 0 ? options_.entries + ends.agent : ends.first_entry;
  const int receiver =
      to_agent ? ends.agent : (to_second ? ends.entry : ends.first_entry);
  const auto slot = static_cast<std::size_t>(receiver);
  const bool blocked =
      to_second ? IsBlocked(first, ends.entry) : IsBlocked(ends.entry, first);
  const TimePoint frozen_until =
      to_agent ? agents_[slot]->frozen_until : entries_[slot]->frozen_until;
  if (blocked || now_ < frozen_until) {
    if (direction.waiting) return false;
    direction.waiting = true;
    At(blocked ? now_ + kResendInterval : frozen_until,
       [this, link, to_second, &direction] {
         if (!links_.contains(link)) return;
         direction.waiting = false;
         Deliver(link, to_second);
       });
    return false;
  }
  const std::optional<Message> message =
      std::move(direction.arrivals.front().message);
  direction.arrivals.pop_front();
  const std::uint64_t incarnation =
      to_second ? ends.entry_incarnation : ends.first_incarnation;
  const bool open = to_second ? ends.second_open : ends.first_open;
  const bool running =
      to_agent
          ? agents_[slot]->alive && agents_[slot]->incarnation == incarnation
          : entries_[slot]->alive && entries_[slot]->incarnation == incarnation;
  if (!open || !running) return true;
  if (!message) {
    CloseEnd(link, !to_second);
  } else if (to_agent) {
    agents_[slot]->session->OnMessage(link, *message, now_);
    RunAgentActions(receiver);
  } else {
    entries_[slot]->node->OnMessage(link, *message, now_);
    entries_[slot]->node->OnFrameEnd(now_);
    RunEntryActions(receiver);
  }
  return true;
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
      SendOnLink(send->link, to_second, std::move(send->message));
    } else if (auto* answer = std::get_if<AnswerStepJob>(&action)) {
      OnAnswer(index, *answer);
    } else if (auto* close = std::get_if<CloseLink>(&action)) {
      const auto found = links_.find(close->link);
      if (found == links_.end()) continue;
      const bool first = found->second.entry != index ||
                         found->second.entry_incarnation != entry.incarnation;
      At(now_, [this, link = close->link, first] { CloseEnd(link, first); });
    } else if (auto* message = std::get_if<LogMessage>(&action)) {
      RecordLogMessage("entry-" + std::to_string(index), *message);
    }
  }
}

}  // namespace geranium::standins
