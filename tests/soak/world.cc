#include "soak/world.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "contract/service_config.h"

namespace geranium::soak {
namespace {

constexpr Duration kTick{10};
constexpr Duration kConnectEvery{200};
constexpr std::size_t kKeptEvents = 40000;

const std::vector<DataCentreName>& Centres() {
  static const std::vector<DataCentreName> centres{DataCentreName("north"),
                                                   DataCentreName("south")};
  return centres;
}

std::pair<std::size_t, std::size_t> Pair(std::size_t a, std::size_t b) {
  return {std::min(a, b), std::max(a, b)};
}

}  // namespace

World::World(WorldOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      log_{LogStore(options_.log_retention), LogStore(options_.log_retention)} {
  for (std::size_t i = 0; i < options_.entries + options_.agents; ++i) {
    processes_.push_back(std::make_unique<Process>());
    process(i).data_centre = Centres()[i % Centres().size()];
    Start(i);
  }
  Connect();
}

// ---- time

void World::At(Duration after, std::function<void()> step) {
  steps_.push(Timed{now_ + after, next_order_++, std::move(step)});
}

void World::RunUntil(TimePoint end) {
  while (!steps_.empty() && steps_.top().at <= end) {
    const Timed timed = steps_.top();
    steps_.pop();
    now_ = timed.at;
    timed.step();
  }
  now_ = end;
}

// ---- processes

EntryOptions World::EntryOptionsFor(std::size_t index) {
  EntryOptions entry;
  entry.id = EntryId("entry-" + std::to_string(index));
  entry.incarnation = Incarnation(random_.Bits());
  entry.link_address = "10.0.0." + std::to_string(index) + ":1";
  entry.seed = random_.Bits();
  entry.log_outage = options_.rule;
  entry.log_retention = options_.log_retention;
  entry.key_window = options_.log_retention / 2;
  entry.dispatcher.policy = options_.policy;
  entry.dispatcher.default_deadline = Duration(6000);
  return entry;
}

AgentOptions World::AgentOptionsFor(std::size_t index) {
  AgentOptions agent;
  agent.incarnation = Incarnation(random_.Bits());
  agent.profile.id = WorkerId("worker-" + std::to_string(index));
  agent.profile.data_centre = process(index).data_centre;
  agent.profile.services = {ServiceName("lookup"), ServiceName("booking"),
                            ServiceName("batch")};
  agent.profile.slots = options_.slots;
  agent.profile.capacity = Resources{8, 8000, 0};
  agent.queue_limit = options_.slots * 2;
  return agent;
}

void World::Start(std::size_t index) {
  Process& started = process(index);
  started.alive = true;
  started.started_at = now_;
  started.frozen = false;
  ++started.generation;
  started.clock_offset =
      Duration(static_cast<std::int64_t>(random_.Below(10'000'000)));
  started.inbox.clear();
  started.leaving_since.reset();
  started.newest_version = Version(0);
  if (IsEntry(index)) {
    started.entry = std::make_unique<EntryNode>(EntryOptionsFor(index));
    for (const LogStream stream :
         {LogStream::kConfiguration, LogStream::kClaims}) {
      ReadLog(index, started.generation, stream);
    }
  } else {
    started.agent = std::make_unique<AgentNode>(AgentOptionsFor(index));
  }
  Tick(index, started.generation);
}

void World::Kill(std::size_t index) {
  Process& killed = process(index);
  if (!killed.alive) return;
  KeepEvents(index);
  const std::map<std::size_t, LinkId> links = killed.links;
  for (const auto& [peer, link] : links) Unlink(index, peer);
  killed.alive = false;
  killed.frozen = false;
  killed.inbox.clear();
  ++killed.generation;
  if (IsEntry(index)) FailCallers(index);
  killed.entry.reset();
  killed.agent.reset();
}

void World::Freeze(std::size_t index) { process(index).frozen = true; }

void World::Thaw(std::size_t index) {
  Process& thawed = process(index);
  if (!thawed.frozen) return;
  thawed.frozen = false;
  const std::deque<std::function<void()>> inbox =
      std::exchange(thawed.inbox, {});
  for (const auto& step : inbox) step();
}

void World::Leave(std::size_t index) {
  Deliver(index, [this, index](Process& leaving, TimePoint now) {
    if (IsEntry(index)) {
      leaving.entry->Leave(now);
    } else {
      leaving.agent->Leave(now);
    }
    if (!leaving.leaving_since) leaving.leaving_since = now_;
  });
}

void World::Deliver(std::size_t index,
                    std::function<void(Process&, TimePoint)> step) {
  Process& target = process(index);
  if (!target.alive) return;
  const std::uint64_t generation = target.generation;
  auto run = [this, index, generation, step = std::move(step)] {
    Process& reached = process(index);
    if (!reached.alive || reached.generation != generation) return;
    step(reached, Local(reached));
    Drain(index);
  };
  if (target.frozen) {
    target.inbox.push_back(std::move(run));
  } else {
    run();
  }
}

void World::Tick(std::size_t index, std::uint64_t generation) {
  Process& ticked = process(index);
  if (!ticked.alive || ticked.generation != generation) return;
  if (!ticked.frozen) {
    if (IsEntry(index)) {
      ticked.entry->OnTick(Local(ticked));
    } else {
      ticked.agent->OnTick(Local(ticked));
    }
    Drain(index);
  }
  At(kTick, [this, index, generation] { Tick(index, generation); });
}

// ---- links

void World::Connect() {
  for (std::size_t a = 0; a < size(); ++a) {
    for (std::size_t b = a + 1; b < size(); ++b) {
      if (!IsEntry(a) || process(a).links.contains(b)) continue;
      if (!process(a).alive || !process(b).alive) continue;
      if (process(a).frozen || process(b).frozen) continue;
      if (!cuts_.contains(Pair(a, b))) Link(a, b);
    }
  }
  At(kConnectEvery, [this] { Connect(); });
}

void World::Link(std::size_t a, std::size_t b) {
  for (const auto& [index, peer] : {std::pair(a, b), std::pair(b, a)}) {
    const LinkId link(next_link_++);
    process(index).links[peer] = link;
    process(index).peers[link] = peer;
  }
  LinkUp(a, b);
  LinkUp(b, a);
}

void World::LinkUp(std::size_t index, std::size_t peer) {
  const LinkId link = process(index).links.at(peer);
  Deliver(index, [this, index, link](Process& linked, TimePoint now) {
    if (IsEntry(index)) {
      linked.entry->OnLinkUp(link, now);
    } else {
      linked.agent->OnLinkUp(link, now);
    }
  });
}

void World::Unlink(std::size_t a, std::size_t b) {
  LinkDown(a, b);
  LinkDown(b, a);
}

void World::LinkDown(std::size_t index, std::size_t peer) {
  Process& unlinked = process(index);
  const auto found = unlinked.links.find(peer);
  if (found == unlinked.links.end()) return;
  const LinkId link = found->second;
  unlinked.links.erase(found);
  unlinked.peers.erase(link);
  Deliver(index, [this, index, link](Process& reached, TimePoint now) {
    if (IsEntry(index)) {
      reached.entry->OnLinkDown(link, now);
    } else {
      reached.agent->OnLinkDown(link, now);
    }
  });
}

void World::Cut(std::size_t a, std::size_t b) {
  cuts_.insert(Pair(a, b));
  if (process(a).links.contains(b)) Unlink(a, b);
}

void World::Heal(std::size_t a, std::size_t b) { cuts_.erase(Pair(a, b)); }

// ---- what the decisions ask for

void World::Drain(std::size_t index) {
  Process& drained = process(index);
  if (IsEntry(index)) {
    for (const EntryAction& action : drained.entry->TakeActions()) {
      std::visit([&](const auto& typed) { Carry(index, typed); }, action);
    }
  } else {
    for (const AgentAction& action : drained.agent->TakeActions()) {
      std::visit([&](const auto& typed) { Carry(index, typed); }, action);
    }
  }
  NoteVersions();
}

void World::Carry(std::size_t index, const SendMessage& action) {
  const auto found = process(index).peers.find(action.link);
  if (found == process(index).peers.end()) return;
  const std::size_t to = found->second;
  const auto link = process(to).links.find(index);
  if (link == process(to).links.end()) return;
  const Duration usual(1);
  if (random_.Chance(message_faults_.lost)) {
    Count("message lost");
    return;
  }
  if (random_.Chance(message_faults_.doubled)) {
    Count("message doubled");
    Transmit(index, to, link->second, action.message,
             Duration(1 + static_cast<std::int64_t>(random_.Below(300))));
  }
  if (random_.Chance(message_faults_.late)) {
    Count("message late");
    Transmit(index, to, link->second, action.message,
             Duration(1 + static_cast<std::int64_t>(random_.Below(1500))));
    return;
  }
  Transmit(index, to, link->second, action.message, usual);
}

void World::Transmit(std::size_t from, std::size_t to, LinkId link,
                     const Message& message, Duration delay) {
  const std::uint64_t generation = process(to).generation;
  At(delay, [this, from, to, link, message, generation] {
    // What was under way on a link that was cut never arrives.
    const auto found = process(to).links.find(from);
    if (found == process(to).links.end() || found->second != link) return;
    if (process(to).generation != generation) return;
    Deliver(to, [this, to, link, message](Process& reached, TimePoint now) {
      if (IsEntry(to)) {
        reached.entry->OnMessage(link, message, now);
      } else {
        reached.agent->OnMessage(link, message, now);
      }
    });
  });
}

// Every entry is dialled by all others from the beginning.
void World::Carry(std::size_t /*index*/, const ConnectEntry& /*action*/) {}

// ---- callers

void World::Submit(std::uint64_t number, std::size_t index) {
  const CallerHandle caller(next_caller_++);
  Process& entry = process(index);
  if (!entry.alive) return;
  judge_.OnSubmitted(number);
  NoteDriver("submit " + std::to_string(number) + " at entry " +
             std::to_string(index));
  waiting_[caller] = Waiting{number, index, entry.generation};
  const Wish& wish = judge_.Find(number);
  Submission submission;
  submission.kind = wish.kind;
  submission.key = wish.key;
  submission.fingerprint = number;
  submission.service = wish.kind == SubmissionKind::kJob ? ServiceName("batch")
                       : wish.idempotent                 ? ServiceName("lookup")
                                         : ServiceName("booking");
  for (std::size_t i = 0; i < wish.tasks; ++i) {
    submission.tasks.push_back(TaskSpec{wish.TaskId(i), Resources{1, 10, 0}});
  }
  Deliver(index, [caller, submission](Process& reached, TimePoint now) {
    reached.entry->OnSubmission(caller, submission, now);
  });
}

void World::Carry(std::size_t /*index*/, const ReplyCaller& action) {
  if (gone_.contains(action.caller)) return;
  const auto found = waiting_.find(action.caller);
  if (found == waiting_.end()) {
    InvariantMonitor::Global().Check(Invariant::kAnswerBelongsToRequest, false,
                                     "a second answer to one caller");
    return;
  }
  const Waiting waiting = found->second;
  waiting_.erase(found);
  if (action.reply) {
    judge_.OnAnswer(waiting.wish, action.reply.value());
  } else {
    judge_.OnRefusal(waiting.wish, action.reply.error());
  }
}

void World::FailCallers(std::size_t entry) {
  for (auto item = waiting_.begin(); item != waiting_.end();) {
    if (item->second.entry != entry) {
      ++item;
      continue;
    }
    judge_.OnAbandoned(item->second.wish);
    item = waiting_.erase(item);
  }
}

bool World::HasCallersAt(std::size_t entry) const {
  return std::ranges::any_of(
      waiting_, [&](const auto& item) { return item.second.entry == entry; });
}

void World::CancelAll() {
  NoteDriver("cancel all");
  std::map<std::size_t, std::vector<CallerHandle>> by_entry;
  for (const auto& [caller, waiting] : waiting_) {
    by_entry[waiting.entry].push_back(caller);
  }
  for (const auto& [index, callers] : by_entry) {
    for (const CallerHandle& caller : callers) {
      judge_.OnAbandoned(waiting_.at(caller).wish);
      waiting_.erase(caller);
      gone_.insert(caller);
      Deliver(index, [caller](Process& reached, TimePoint now) {
        reached.entry->OnCallerGone(caller, now);
      });
    }
  }
}

// ---- what happened

void World::KeepEvents(std::size_t index) {
  const Process& kept = process(index);
  const EventRing& ring =
      kept.entry ? kept.entry->events() : kept.agent->events();
  const std::string name = (IsEntry(index) ? "entry-" : "worker-") +
                           std::to_string(index) + "." +
                           std::to_string(kept.generation);
  for (const Event& event : ring.After(0)) {
    std::string line = name + " " + std::string(Name(event.kind));
    if (event.attempt) line += " " + ToString(*event.attempt);
    if (event.job) line += " job " + ToString(*event.job);
    if (!event.peer.empty()) line += " at " + event.peer;
    if (!event.detail.empty()) line += " (" + event.detail + ")";
    old_events_.emplace_back(event.at - kept.clock_offset, std::move(line));
  }
  if (old_events_.size() > 2 * kKeptEvents) {
    old_events_.erase(
        old_events_.begin(),
        old_events_.end() - static_cast<std::ptrdiff_t>(kKeptEvents));
  }
}

void World::NoteDriver(const std::string& what) {
  old_events_.emplace_back(now_, "driver " + what);
}

std::string World::TimeLine(std::size_t most) const {
  World& self = const_cast<World&>(*this);
  for (std::size_t i = 0; i < size(); ++i) {
    if (self.process(i).alive) self.KeepEvents(i);
  }
  auto events = old_events_;
  std::ranges::stable_sort(events, {}, [](const auto& e) { return e.first; });
  std::string text;
  const std::size_t first = events.size() > most ? events.size() - most : 0;
  for (std::size_t i = first; i < events.size(); ++i) {
    text +=
        std::to_string(events[i].first.ms()) + " " + events[i].second + "\n";
  }
  return text;
}

}  // namespace geranium::soak
