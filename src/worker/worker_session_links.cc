#include <algorithm>
#include <utility>

#include "worker/worker_session.h"

namespace geranium {
namespace {

/// Reports are sent at most this often.
constexpr Duration kReportInterval{20};

}  // namespace

void WorkerSession::OnLinkUp(LinkId link, TimePoint now) {
  peers_[link].heard = now;
  Hello hello;
  hello.role = ProcessRole::kAgent;
  hello.name = options_.name;
  hello.incarnation = options_.incarnation;
  Send(link, hello);
  Send(link,
       Heartbeat{now, std::nullopt, Version(0), std::nullopt, std::nullopt});
}

void WorkerSession::OnLinkDown(LinkId link, TimePoint /*now*/) {
  const Peer& peer = peers_[link];
  if (peer.hello) {
    Entry& entry = entries_[peer.hello->incarnation];
    if (entry.link == link) entry.linked = false;
    Log(LogLevel::kWarning, "entry_link_down", {{"entry", peer.hello->name}});
  }
  peers_.erase(link);
}

void WorkerSession::OnMessage(LinkId link, const Message& message,
                              TimePoint now) {
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) return;
  peer->second.heard = now;
  std::visit([&](const auto& typed) { On(link, typed, now); }, message);
}

void WorkerSession::On(LinkId link, const Hello& hello, TimePoint now) {
  if (hello.role != ProcessRole::kEntry) return;
  peers_[link].hello = hello;
  known_entries_.insert(hello.link_address);
  Entry& entry = entries_[hello.incarnation];
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
  if (worker_) Send(link, Card());
  Send(link, Report(peers_[link], now));
}

void WorkerSession::On(LinkId /*link*/, const Members& members,
                       TimePoint /*now*/) {
  for (const std::string& address : members.entry_addresses) {
    LearnEntry(address);
  }
}

void WorkerSession::On(LinkId link, const Heartbeat& heartbeat,
                       TimePoint /*now*/) {
  Peer& peer = peers_[link];
  peer.newest_sent_at = heartbeat.sent_at;
  if (!peer.hello || !heartbeat.echo) return;
  Entry& entry = entries_[peer.hello->incarnation];
  if (entry.link == link) {
    entry.proved = std::max(entry.proved, *heartbeat.echo);
  }
}

void WorkerSession::CloseSilentLinks(TimePoint now) {
  for (auto& [link, peer] : peers_) {
    if (now - peer.heard <= kLinkSilence) continue;
    peer.heard = now;
    actions_.emplace_back(CloseLink{link});
  }
}

void WorkerSession::SendHeartbeats(TimePoint now) {
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + kHeartbeat;
  for (const auto& [link, peer] : peers_) {
    Send(link, Heartbeat{now, peer.newest_sent_at, Version(0), std::nullopt,
                         std::nullopt});
  }
}

void WorkerSession::SendReports(TimePoint now) {
  if (!report_due_ || now < next_report_) return;
  report_due_ = false;
  next_report_ = now + kReportInterval;
  for (const auto& [link, peer] : peers_) {
    if (!peer.hello) continue;
    if (worker_) Send(link, Card());
    Send(link, Report(peer, now));
  }
}

WorkerCard WorkerSession::Card() const {
  WorkerCard card;
  card.id = worker_->id;
  card.service = worker_->service;
  card.data_centre = worker_->data_centre;
  card.labels = worker_->labels;
  card.capacity = worker_->capacity;
  card.settled = settled_;
  return card;
}

WorkerReport WorkerSession::Report(const Peer& peer, TimePoint now) const {
  WorkerReport report;
  report.accepting = IsAccepting(now);
  if (worker_) {
    report.free = worker_->capacity;
    report.free -= in_use_;
  }
  report.cpu_received = peer.cpu_received;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) continue;
    const auto rank = static_cast<std::size_t>(
        std::clamp(attempt.order.priority, 0, WorkerReport::kPriorities - 1));
    report.queued_cpu.resize(WorkerReport::kPriorities);
    report.queued_cpu[rank] += attempt.order.size.cpu;
  }
  report.slowness = record_.slowness();
  report.failing = record_.failing();
  return report;
}

}  // namespace geranium
