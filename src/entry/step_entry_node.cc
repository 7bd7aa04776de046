#include "entry/step_entry_node.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

/// Retry-after of jobs refused here: no route table, no route, or leaving.
constexpr Duration kRetryAfterStart{1000};
/// A leaving entry admits a job only if this many times its estimate is left.
/// Estimates are off by 40 % on average, and runs start late or on slow
/// workers; a refused caller goes to another entry, one that is cut off waits.
constexpr std::int64_t kLeaveEstimateMultiple = 4;
/// Assumed if the caller gives no timeout.
constexpr Duration kDefaultCallerTimeout{10'000};
/// Agents connect at most this long after a start: a failed connection attempt,
/// the pause after it, and the worker's next announcement.
constexpr Duration kWorkerDiscoveryTime{3000};
/// New addresses of entries are passed on at most this often: when a whole site
/// starts, each entry learns of all others within moments.
constexpr Duration kMembersInterval{50};
/// Waiting tasks are looked at this often if nothing else happens: they become
/// late, and workers on probation take one from time to time.
constexpr Duration kWaitingTasksInterval{20};

}  // namespace

StepEntryNode::StepEntryNode(StepEntryOptions options)
    : options_(std::move(options)),
      scheduler_(options_.scheduler),
      known_jobs_(kKnownJobRetention, options_.max_known_jobs),
      cancelled_jobs_(kCancelledJobRetention, options_.max_known_jobs) {
  scheduler_.SetRouteTable(&table_);
  entry_addresses_.insert(options_.link_address);
}

std::vector<StepAction> StepEntryNode::TakeActions() {
  return std::exchange(actions_, {});
}

// ---- callers

void StepEntryNode::OnSubmission(CallerHandle caller, StepSubmission submission,
                                 TimePoint now) {
  AbandonLostJobs(now);
  const StepJobId id = submission.job.id;
  const auto refuse = [&](StepAnswer answer, const std::string& reason) {
    Log(LogLevel::kInfo, "job_refused",
        {{"job", id.value()}, {"reason", reason}});
    actions_.emplace_back(
        AnswerStepJob{caller, answer, kRetryAfterStart, reason});
  };
  const bool is_known =
      scheduler_.MayHaveRuns(id) || known_jobs_.Contains(id) || IsCancelled(id);
  const auto refusal = [](bool may_have_run) {
    return may_have_run ? StepAnswer::kAbandoned : StepAnswer::kRefused;
  };
  if (!has_table()) {
    refuse(refusal(is_known), "this entry has not received a route table yet");
    return;
  }
  const bool may_have_run = is_known || HasMissedAnnouncements(now);
  const Route* route = table_.Find(submission.host, submission.path);
  if (route == nullptr) {
    refuse(StepAnswer::kNoRoute, "no route matches the host and path");
    return;
  }
  if (leave_deadline_ &&
      now + scheduler_.CriticalPath(submission.job) * kLeaveEstimateMultiple +
              scheduler_.WorkTime(submission.job) >
          *leave_deadline_) {
    refuse(refusal(may_have_run),
           "this entry is leaving and may not finish the job in time");
    return;
  }
  if (is_cut_off_) {
    refuse(StepAnswer::kAbandoned,
           "this entry is cut off from all other processes");
    return;
  }
  if (IsCancelled(id)) {
    refuse(StepAnswer::kFailed, "the job was cancelled");
    return;
  }
  // One that is held already waits for its own earlier runs in the end.
  if (handovers_.contains(id) && scheduler_.HasJob(id)) {
    scheduler_.Relinquish(id, now);
  }
  const bool held = handovers_.contains(id) || BeginHandover(id, now);
  const Duration caller_timeout =
      submission.caller_timeout.value_or(kDefaultCallerTimeout);
  scheduler_.Submit(caller, std::move(submission.job), *route, caller_timeout,
                    {may_have_run || held, held}, now);
  if (scheduler_.HasJob(id)) unannounced_.push_back(id);
  // Another copy may be on its way to an entry that knows nothing of the job.
  if (may_have_run || now >= next_announcement_) AnnounceJobs(now);
  if (!held) scheduler_.PlaceWaitingTasks(now);
  CollectActions(now);
}

// A caller whose connection was reset resubmits the job at once. Its runs here
// take a while to stop, so the job is announced to the other entries right
// away.
void StepEntryNode::OnCallerGone(CallerHandle caller, TimePoint now) {
  AnnounceJobs(now);
  scheduler_.OnCallerGone(caller, now);
  CollectActions(now);
}

bool StepEntryNode::IsReady(TimePoint now) const {
  return !leave_deadline_ && has_table() && !is_cut_off_ &&
         scheduler_.accepting_workers(now) > 0;
}

void StepEntryNode::Leave(TimePoint end) { leave_deadline_ = end; }

void StepEntryNode::AbandonOpenJobs(TimePoint now) {
  scheduler_.AbandonOpenJobs("the entry is leaving", now);
  CollectActions(now);
}

// ---- links

void StepEntryNode::OnLinkUp(LinkId link, TimePoint now) {
  if (started_at_ == TimePoint::Never()) BeginStart(now);
  peers_[link].last_heard = now;
  Hello hello;
  hello.role = ProcessRole::kEntry;
  hello.name = options_.id.value();
  hello.incarnation = options_.incarnation;
  hello.link_address = options_.link_address;
  Send(link, hello);
  SendHeartbeat(link, peers_[link], now);
  Send(link, Members{{entry_addresses_.begin(), entry_addresses_.end()}});
}

void StepEntryNode::OnLinkDown(LinkId link, TimePoint now) {
  const auto found = peers_.find(link);
  if (found == peers_.end()) return;
  if (found->second.hello) {
    const Hello& hello = *found->second.hello;
    if (hello.role == ProcessRole::kAgent) {
      scheduler_.OnWorkerLinkDown(link, now);
    } else if (LinkOf(hello.incarnation) == link) {
      entry_links_.erase(hello.incarnation);
      Log(LogLevel::kWarning, "entry_link_down", {{"entry", hello.name}});
    }
  }
  peers_.erase(found);
  CollectActions(now);
}

void StepEntryNode::OnMessage(LinkId link, const Message& message,
                              TimePoint now) {
  AbandonLostJobs(now);
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) return;
  peer->second.last_heard = now;
  if (peer->second.hello) {
    if (peer->second.hello->role == ProcessRole::kEntry) {
      entry_heard_[peer->second.hello->incarnation] = now;
      entry_heard_here_[peer->second.hello->incarnation] = now;
    } else {
      scheduler_.OnLinkActivity(link, now);
    }
  }
  std::visit([&](const auto& typed) { On(link, typed, now); }, message);
}

void StepEntryNode::OnFrameEnd(TimePoint now) {
  scheduler_.PlaceWaitingTasks(now);
  CollectActions(now);
}

void StepEntryNode::On(LinkId link, const Hello& hello, TimePoint now) {
  peers_[link].hello = hello;
  if (hello.role == ProcessRole::kAgent) {
    scheduler_.OnWorkerLinkUp(link, hello.incarnation, now);
    Log(LogLevel::kInfo, "agent_link_up", {{"agent", hello.name}});
    return;
  }
  entry_links_[hello.incarnation] = link;
  entry_heard_[hello.incarnation] = now;
  entry_heard_here_[hello.incarnation] = now;
  ReadFromStart(hello.incarnation, now);
  SendOpenJobs(link, now);
  SendCancelledJobs(link);
  ResendHandoverRequests(hello.incarnation, now);
  Log(LogLevel::kInfo, "entry_link_up", {{"entry", hello.name}});
  // Already linked, so no ConnectEntry is needed.
  if (entry_addresses_.insert(hello.link_address).second) {
    new_members_.push_back(hello.link_address);
  }
}

void StepEntryNode::AddConfiguredEntries(
    const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (entry_addresses_.insert(address).second) {
      actions_.emplace_back(ConnectEntry{address});
    }
  }
}

void StepEntryNode::AddEntry(const std::string& address) {
  if (!entry_addresses_.insert(address).second) return;
  actions_.emplace_back(ConnectEntry{address});
  new_members_.push_back(address);
}

void StepEntryNode::On(LinkId /*link*/, const Members& members,
                       TimePoint /*now*/) {
  for (const std::string& address : members.entry_addresses) {
    if (!entry_addresses_.insert(address).second) continue;
    new_members_.push_back(address);
    // Both entries learn of each other; only the lower address connects.
    if (options_.link_address < address) {
      actions_.emplace_back(ConnectEntry{address});
    }
  }
}

// A peer gets all addresses when it is linked, and later only new ones.
void StepEntryNode::SendNewMembers(TimePoint now) {
  if (new_members_.empty() || now < next_members_) return;
  next_members_ = now + kMembersInterval;
  const Members members{std::exchange(new_members_, {})};
  for (const auto& [link, peer] : peers_) Send(link, members);
}

void StepEntryNode::On(LinkId link, const RouteTablePull& pull,
                       TimePoint /*now*/) {
  if (has_table() && table_.offset > pull.have) {
    Send(link, RouteTablePush{table_});
  }
}

void StepEntryNode::On(LinkId link, const RouteTablePush& push, TimePoint now) {
  Peer& peer = peers_[link];
  peer.pull_sent = false;
  OnRouteTable(push.table, peer.hello ? peer.hello->name : "", now);
}

void StepEntryNode::OnRouteTable(const RouteTable& table,
                                 const std::string& source, TimePoint now) {
  const bool newer = table.offset > table_.offset || !has_table();
  if (!newer || table.version < table_.version) return;
  const RouteTable previous = std::exchange(table_, table);
  UpdateDataCentres(previous, now);
  std::string out;
  for (const DataCentreName& name : table.data_centres_out) {
    out += (out.empty() ? "" : ",") + name.value();
  }
  Log(LogLevel::kInfo, "route_table",
      {{"version", std::to_string(table.version)},
       {"offset", std::to_string(table.offset.value())},
       {"routes", std::to_string(table.routes.size())},
       {"out", out},
       {"source", source}});
  scheduler_.PlaceWaitingTasks(now);
  CollectActions(now);
}

void StepEntryNode::On(LinkId link, const WorkerCard& card, TimePoint now) {
  peers_[link].data_centre = card.data_centre;
  const auto update = data_centre_updates_.find(card.data_centre);
  if (update != data_centre_updates_.end()) Send(link, update->second);
  scheduler_.On(link, card, now);
}
void StepEntryNode::UpdateDataCentres(const RouteTable& previous,
                                      TimePoint now) {
  const auto update = [&](const DataCentreName& name, bool out) {
    data_centre_updates_[name] = DataCentreUpdate{name, table_.offset, out};
    TellDataCentre(data_centre_updates_[name], now);
  };
  for (const DataCentreName& name : table_.data_centres_out) update(name, true);
  for (const DataCentreName& name : previous.data_centres_out) {
    if (!table_.IsOutOfService(name)) update(name, false);
  }
}

// Behind a heartbeat with the new table's offset: agents return the orders of
// an entry that has an older one.
void StepEntryNode::TellDataCentre(const DataCentreUpdate& update,
                                   TimePoint now) {
  for (auto& [link, peer] : peers_) {
    if (peer.data_centre != update.data_centre) continue;
    SendHeartbeat(link, peer, now);
    Send(link, update);
  }
}

void StepEntryNode::On(LinkId link, const WorkerReport& report, TimePoint now) {
  scheduler_.On(link, report, now);
}
void StepEntryNode::On(LinkId link, const AttemptList& list, TimePoint now) {
  scheduler_.On(link, list, now);
}
void StepEntryNode::On(LinkId link, const TaskEnd& end, TimePoint now) {
  scheduler_.On(link, end, now);
}
void StepEntryNode::On(LinkId link, const WorkerCrashed& crash, TimePoint now) {
  scheduler_.On(link, crash, now);
}

// ---- time

void StepEntryNode::OnTick(TimePoint now) {
  AbandonLostJobs(now);
  scheduler_.SetDiscovering(now - started_at_ < kWorkerDiscoveryTime);
  CheckHandovers(now);
  SendNewMembers(now);
  CloseSilentLinks(now);
  SendHeartbeats(now);
  SendSilentEntries(now);
  scheduler_.OnTick(now);
  known_jobs_.Expire(now);
  cancelled_jobs_.Expire(now);
  CollectActions(now);
}

Duration StepEntryNode::TimeToNextTick(TimePoint now) const {
  TimePoint next = std::min(next_heartbeat_, next_peer_heartbeat_);
  if (!new_members_.empty()) next = std::min(next, next_members_);
  if (!unannounced_.empty()) next = std::min(next, next_announcement_);
  if (scheduler_.has_waiting_tasks() || !handovers_.empty()) {
    next = std::min(next, now + kWaitingTasksInterval);
  }
  return std::max(next - now, Duration(1));
}

std::optional<LinkId> StepEntryNode::LinkOf(Incarnation entry) const {
  const auto found = entry_links_.find(entry);
  if (found == entry_links_.end()) return std::nullopt;
  return found->second;
}

void StepEntryNode::CollectActions(TimePoint now) {
  OnRelinquished(now);
  for (const StepJobId& job : scheduler_.TakeEnded()) {
    known_jobs_.Keep(job, now);
  }
  for (StepAction& action : scheduler_.TakeActions()) {
    if (auto* message = std::get_if<SendMessage>(&action)) {
      SendToAgent(std::move(*message), now);
    } else {
      actions_.push_back(std::move(action));
    }
  }
}

// An agent refuses orders without a recent echo of its heartbeat, so one goes
// ahead of an order. Acknowledgements are not urgent and wait for such a frame.
void StepEntryNode::SendToAgent(SendMessage action, TimePoint now) {
  const auto found = peers_.find(action.link);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  if (const auto* ack = std::get_if<TaskEndAck>(&action.message)) {
    peer.acknowledgements.push_back(*ack);
    return;
  }
  if (std::holds_alternative<StartTask>(action.message) &&
      peer.last_echoed != peer.newest_sent_at) {
    SendHeartbeat(action.link, peer, now);
  }
  actions_.emplace_back(std::move(action));
}

void StepEntryNode::Send(LinkId link, Message message) {
  actions_.emplace_back(SendMessage{link, std::move(message)});
}

void StepEntryNode::Log(LogLevel level, const std::string& event,
                        LogFields fields) {
  actions_.emplace_back(LogMessage{level, event, std::move(fields)});
}

}  // namespace geranium
