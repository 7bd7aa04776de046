#include <algorithm>
#include <optional>
#include <utility>

#include "worker/worker_session.h"

namespace geranium {
namespace {

/// Reports are sent at most this often.
constexpr Duration kReportInterval{40};
/// The selection of entries is updated this often.
constexpr Duration kSelectionInterval{100};
/// A link is closed this long after its entry was told to send no more orders,
/// well above the time an order takes in transit.
constexpr Duration kReleaseGracePeriod{300};
/// Tolerance for rounding in sums of CPU shares.
constexpr double kCpuEpsilon = 1e-6;
/// Fewer free cores than this count as none.
constexpr double kFreeCore = 1;
/// A run that should have ended is expected to end at any moment; 0 would say
/// that a core is free.
constexpr Duration kMinRemaining{1};
/// Others count an entry that was not heard from for this long as lost.
constexpr Duration kMaxHeardAge{1500};

}  // namespace

void WorkerSession::OnLinkUp(LinkId link, TimePoint now) {
  peers_[link].last_received_at = now;
  Hello hello;
  hello.role = ProcessRole::kAgent;
  hello.name = options_.name;
  hello.incarnation = options_.incarnation;
  Send(link, hello);
  Send(link,
       Heartbeat{now, std::nullopt, Version(0), std::nullopt, std::nullopt});
}

void WorkerSession::OnLinkDown(LinkId link, TimePoint now) {
  const Peer& peer = peers_[link];
  if (peer.hello) {
    Entry& entry = entries_[peer.hello->incarnation];
    if (entry.link == link) {
      entry.linked = false;
      DropHolds(peer.hello->incarnation);
      selection_.OnUnlinked(peer.hello->link_address, now);
      next_selection_ = now;
    }
    Log(LogLevel::kWarning, "entry_link_down", {{"entry", peer.hello->name}});
  }
  peers_.erase(link);
}

void WorkerSession::OnMessage(LinkId link, const Message& message,
                              TimePoint now) {
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) return;
  peer->second.last_received_at = now;
  std::visit([&](const auto& typed) { On(link, typed, now); }, message);
}

void WorkerSession::On(LinkId link, const Hello& hello, TimePoint now) {
  if (hello.role != ProcessRole::kEntry) return;
  peers_[link].hello = hello;
  selection_.Add(hello.link_address, now);
  selection_.OnLinked(hello.link_address);
  const bool is_new = !entries_.contains(hello.incarnation);
  DropHolds(hello.incarnation);  // Of a link that this one replaces.
  Entry& entry = entries_[hello.incarnation];
  entry.name = hello.name;
  entry.link_address = hello.link_address;
  entry.link = link;
  entry.linked = true;
  Log(LogLevel::kInfo, "entry_link_up", {{"entry", hello.name}});
  AttemptList list;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.entry == hello.incarnation) list.attempts.push_back(id);
  }
  for (const auto& [id, end] : entry.unacknowledged) {
    list.attempts.push_back(id);
  }
  Send(link, list);
  for (const auto& [id, end] : entry.unacknowledged) Send(link, end);
  if (is_new) SendRecentCrashes(link, now);
  SendReport(link, peers_[link], now);
}

void WorkerSession::On(LinkId /*link*/, const Members& members, TimePoint now) {
  AddEntries(members.entry_addresses, now);
}

// ---- entry selection

void WorkerSession::AddEntries(const std::vector<std::string>& addresses,
                               TimePoint now) {
  bool added = false;
  for (const std::string& address : addresses) {
    added = selection_.Add(address, now) || added;
  }
  if (!added) return;
  next_selection_ = now;
  SelectEntries(now);
}

void WorkerSession::SelectEntries(TimePoint now) {
  if (now < next_selection_) return;
  next_selection_ = now + kSelectionInterval;
  selection_.Update(now);
  for (const std::string& address : selection_.selected()) {
    if (!dialled_entries_.insert(address).second) continue;
    actions_.emplace_back(ConnectEntry{address});
  }
  ReleaseUnselected(now);
}

// A released entry is first told to send no more orders; its open orders are
// finished and acknowledged before the link is closed. If it breaks before
// that, it is dialled again.
void WorkerSession::ReleaseUnselected(TimePoint now) {
  const std::set<std::string>& selected = selection_.selected();
  std::set<std::string> kept;
  for (auto& [link, peer] : peers_) {
    if (!peer.hello) continue;
    const std::string& address = peer.hello->link_address;
    if (selected.contains(address)) {
      if (peer.releasing_since) ++state_version_;
      peer.releasing_since.reset();
      continue;
    }
    if (!peer.releasing_since) {
      peer.releasing_since = now;
      DropHolds(peer.hello->incarnation);
      ++state_version_;
    }
    if (now - *peer.releasing_since < kReleaseGracePeriod ||
        HasOpenWork(peer.hello->incarnation)) {
      kept.insert(address);
    }
  }
  for (const auto& [incarnation, entry] : entries_) {
    if (HasOpenWork(incarnation)) kept.insert(entry.link_address);
  }
  std::erase_if(dialled_entries_, [&](const std::string& address) {
    if (selected.contains(address) || kept.contains(address)) return false;
    Log(LogLevel::kInfo, "entry_released", {{"entry", address}});
    actions_.emplace_back(DisconnectEntry{address});
    return true;
  });
}

bool WorkerSession::HasOpenWork(Incarnation entry) const {
  const auto known = entries_.find(entry);
  if (known != entries_.end() && !known->second.unacknowledged.empty()) {
    return true;
  }
  return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& item) {
    return item.second.entry == entry;
  });
}

std::uint32_t WorkerSession::CountEntries() const {
  return static_cast<std::uint32_t>(
      std::count_if(peers_.begin(), peers_.end(), [](const auto& item) {
        return item.second.hello && !item.second.releasing_since;
      }));
}

void WorkerSession::On(LinkId link, const Heartbeat& heartbeat, TimePoint now) {
  Peer& peer = peers_[link];
  peer.last_heartbeat_sent_at = heartbeat.sent_at;
  const bool was_outdated = IsOutdated(peer);
  peer.table_offset = LogOffset(heartbeat.version.value());
  if (was_outdated != IsOutdated(peer)) peer.reported_version = 0;
  if (!peer.hello) return;
  Entry& entry = entries_[peer.hello->incarnation];
  entry.last_heartbeat_at = now;
  if (entry.link == link && heartbeat.echo) {
    entry.last_alive_at = std::max(entry.last_alive_at, *heartbeat.echo);
  }
}

void WorkerSession::On(LinkId /*link*/, const DataCentreUpdate& update,
                       TimePoint /*now*/) {
  if (!worker_ || update.data_centre != worker_->data_centre) return;
  if (data_centre_update_ &&
      data_centre_update_->data_centre == update.data_centre &&
      data_centre_update_->offset >= update.offset) {
    return;
  }
  data_centre_update_ = update;
  ++state_version_;
}

// An entry that is cut off from the operator's log and from other entries may
// still reach the agents of a data centre that was taken out of service.
bool WorkerSession::IsOutdated(const Peer& peer) const {
  return worker_ && data_centre_update_ && data_centre_update_->out &&
         data_centre_update_->data_centre == worker_->data_centre &&
         peer.table_offset < data_centre_update_->offset;
}

void WorkerSession::CloseSilentLinks(TimePoint now) {
  for (auto& [link, peer] : peers_) {
    if (now - peer.last_received_at <= kLinkTimeout) continue;
    peer.last_received_at = now;
    actions_.emplace_back(CloseLink{link});
  }
}

void WorkerSession::SendHeartbeats(TimePoint now) {
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + kHeartbeatInterval;
  const EntriesHeard heard = ListHeardEntries(now);
  for (const auto& [link, peer] : peers_) {
    Send(link, Heartbeat{now, peer.last_heartbeat_sent_at, Version(0),
                         std::nullopt, std::nullopt});
    // Nothing to tell if no other entry is heard.
    if (heard.entries.size() > 1) Send(link, heard);
  }
}

// Lets entries that are cut off from each other know that the other one still
// has its runs here.
EntriesHeard WorkerSession::ListHeardEntries(TimePoint now) const {
  EntriesHeard heard;
  for (const auto& [incarnation, entry] : entries_) {
    const Duration age = now - entry.last_heartbeat_at;
    if (age <= kMaxHeardAge) heard.entries.push_back({incarnation, age});
  }
  return heard;
}

// A task's end makes a frame for its entry anyway, so a report goes with it.
// The other entries get one report for all changes within an interval.
// Heartbeats that are due soon share these frames.
void WorkerSession::SendReports(TimePoint now) {
  ExpireHolds(now);
  const bool to_all = now >= next_report_;
  bool sent = false;
  for (auto& [link, peer] : peers_) {
    if (!IsReportDue(peer) || !(to_all || peer.task_end_sent)) continue;
    SendReport(link, peer, now);
    sent = true;
  }
  if (!to_all || !sent) return;
  next_report_ = now + kReportInterval;
  if (next_heartbeat_ - now > kHeartbeatInterval / 2) return;
  next_heartbeat_ = now;
  SendHeartbeats(now);
}

void WorkerSession::SendReport(LinkId link, Peer& peer, TimePoint now) {
  peer.reported_version = state_version_;
  peer.task_end_sent = false;
  peer.cores_hidden = HiddenCpu(peer, now) > kCpuEpsilon;
  if (worker_) {
    const WorkerCard card = Card();
    if (peer.sent_card != card) {
      peer.sent_card = card;
      Send(link, card);
    }
  }
  Send(link, Report(peer, now));
}

// ---- cores held for entries whose tasks wait

void WorkerSession::ExpireHolds(TimePoint now) {
  const std::size_t expired = hold_.Expire(now);
  if (expired == 0) return;
  counters_.holds_expired += expired;
  RepeatReportsThatHidCores();
}

void WorkerSession::DropHolds(Incarnation entry) {
  if (hold_.Drop(entry)) RepeatReportsThatHidCores();
}

// A hold that ends changes nothing for the entry it was for, nor for those that
// were sent no report meanwhile: a new version of the state would cost all of
// them a frame.
void WorkerSession::RepeatReportsThatHidCores() {
  for (auto& [link, peer] : peers_) {
    if (peer.cores_hidden) peer.reported_version = 0;
  }
}

double WorkerSession::HiddenCpu(const Peer& peer, TimePoint now) const {
  if (!worker_ || !peer.hello) return 0;
  const double free = std::max(0.0, worker_->capacity.cpu - in_use_.cpu);
  return std::min(free, hold_.HeldFrom(peer.hello->incarnation, now));
}

WorkerCard WorkerSession::Card() const {
  WorkerCard card;
  card.id = worker_->id;
  card.service = worker_->service;
  card.data_centre = worker_->data_centre;
  card.labels = worker_->labels;
  card.capacity = worker_->capacity;
  card.previous_runs_ended = settled_;
  return card;
}

WorkerReport WorkerSession::Report(const Peer& peer, TimePoint now) const {
  WorkerReport report;
  report.accepting = IsAccepting(now) && !peer.releasing_since &&
                     !IsMemoryFull() && !IsOutdated(peer);
  report.entries = CountEntries();
  if (worker_) {
    report.free = worker_->capacity;
    report.free -= in_use_;
    report.free.cpu -= HiddenCpu(peer, now);
  }
  report.cpu_received = peer.cpu_received;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) {
      if (attempt.order.priority == 0) {
        report.urgent_cpu += attempt.order.size.cpu;
      }
      continue;
    }
    const auto rank = static_cast<std::size_t>(
        std::clamp(attempt.order.priority, 0, WorkerReport::kPriorities - 1));
    report.queued_cpu.resize(WorkerReport::kPriorities);
    report.queued_cpu[rank] += attempt.order.size.cpu;
  }
  report.slowness = run_statistics_.slowness();
  report.failing = run_statistics_.failing();
  report.speed_runs =
      static_cast<std::uint32_t>(run_statistics_.speed().runs());
  report.next_end = ExpectedNextEnd(report.free, now);
  return report;
}

Duration WorkerSession::ExpectedNextEnd(const Resources& free,
                                        TimePoint now) const {
  if (free.cpu >= kFreeCore) return Duration(0);
  std::optional<Duration> first;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued) continue;
    const Duration rest = ExpectedRemaining(attempt, now);
    if (!first || rest < *first) first = rest;
  }
  return first.value_or(Duration(0));
}

// Extrapolated from the moment of the last progress, as polls may be 80 ms
// apart. Progress lags at the start of a run, which makes the rest too long:
// other runs end sooner, so the first end is hardly affected.
Duration WorkerSession::ExpectedRemaining(const Attempt& attempt,
                                          TimePoint now) const {
  Duration whole(static_cast<std::int64_t>(
      static_cast<double>(attempt.order.estimate.ms()) *
      run_statistics_.slowness()));
  if (attempt.percent > 0) {
    whole =
        (attempt.last_progress_at - attempt.started_at) * 100 / attempt.percent;
  }
  return std::max(kMinRemaining, whole - (now - attempt.started_at));
}

}  // namespace geranium
