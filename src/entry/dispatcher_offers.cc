#include <algorithm>
#include <utility>

#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kAckTimeout{100};
constexpr Duration kReofferUrgent{5};
constexpr Duration kReofferOthers{30};
constexpr std::size_t kMostOffersLookedAt = 8;
constexpr std::size_t kMostAttempts = 2;

}  // namespace

void Dispatcher::Enqueue(const Job& job, std::uint32_t task, bool at_front) {
  FairQueue& queue = queues_[{job.task_class, job.service.name}];
  const TaskRef ref{job.id, task};
  if (at_front) {
    queue.PushFront(job.team, job.weight, ref);
  } else {
    queue.PushBack(job.team, job.weight, ref);
  }
  ++waiting_by_class_[static_cast<std::size_t>(job.task_class)];
  ++waiting_tasks_;
}

std::optional<Dispatcher::QueueKey> Dispatcher::NextQueue(
    const std::set<QueueKey>& blocked) {
  ClassPicker::Waiting waiting{};
  for (const auto& [key, queue] : queues_) {
    if (queue.empty() || blocked.contains(key)) continue;
    waiting[static_cast<std::size_t>(key.first)] = true;
  }
  const auto task_class = picker_.Pick(waiting);
  if (!task_class) return std::nullopt;
  // The services of one class take turns.
  ServiceName& last = last_service_[static_cast<std::size_t>(*task_class)];
  const auto is_next = [&](const auto& item) {
    return item.first.first == *task_class && !item.second.empty() &&
           !blocked.contains(item.first);
  };
  auto found = std::find_if(queues_.upper_bound({*task_class, last}),
                            queues_.end(), is_next);
  if (found == queues_.end()) {
    found = std::find_if(queues_.begin(), queues_.end(), is_next);
  }
  last = found->first.second;
  return found->first;
}

void Dispatcher::Pump(TimePoint now) {
  if (!fresh_ || waiting_tasks_ == 0) return;
  std::set<QueueKey> blocked;
  while (const auto key = NextQueue(blocked)) {
    if (!OfferHead(*key, now)) blocked.insert(*key);
  }
}

// After news from one worker, only that worker can take more than before.
void Dispatcher::PumpWorker(WorkerView& worker, TimePoint now) {
  if (!fresh_) return;
  if (waiting_tasks_ > 0) {
    std::set<QueueKey> blocked;
    while (const auto key = NextQueue(blocked)) {
      if (!OfferHeadTo(*key, worker, now)) blocked.insert(*key);
    }
  }
  OfferWaitingTo(worker, now);
}

std::optional<TaskRef> Dispatcher::PopWaiting(const QueueKey& key) {
  FairQueue& queue = queues_[key];
  while (const auto ref = queue.Pop()) {
    --waiting_by_class_[static_cast<std::size_t>(key.first)];
    --waiting_tasks_;
    const Job* job = FindJob(ref->job);
    if (job == nullptr) continue;
    if (job->tasks[ref->task].state == TaskState::kWaiting) return ref;
  }
  return std::nullopt;
}

void Dispatcher::PutBack(const TaskRef& ref) {
  Enqueue(jobs_.at(ref.job), ref.task, true);
}

bool Dispatcher::OfferHead(const QueueKey& key, TimePoint now) {
  const auto ref = PopWaiting(key);
  if (!ref) return false;
  Job& job = jobs_.at(ref->job);
  WorkerView* worker = ChooseFor(job, job.tasks[ref->task], now);
  if (worker == nullptr) {
    PutBack(*ref);
    return false;
  }
  SendOffer(job, ref->task, *worker, now);
  return true;
}

bool Dispatcher::OfferHeadTo(const QueueKey& key, WorkerView& worker,
                             TimePoint now) {
  const auto& services = worker.profile.services;
  if (std::ranges::count(services, key.second) == 0) return false;
  const auto ref = PopWaiting(key);
  if (!ref) return false;
  Job& job = jobs_.at(ref->job);
  const WorkerQuery query = QueryFor(job, job.tasks[ref->task]);
  const int limit =
      WaitingLimit(job.task_class, job.IsRepeatable(), worker.profile.slots);
  if (worker.waiting >= limit || !workers_.Suits(worker, query, now)) {
    PutBack(*ref);
    return false;
  }
  SendOffer(job, ref->task, worker, now);
  return true;
}

WorkerQuery Dispatcher::QueryFor(const Job& job, const Task& task) const {
  WorkerQuery query;
  query.service = job.service.name;
  query.task_class = job.task_class;
  query.size = task.spec.size;
  const TaskTraits traits{job.task_class, job.IsRepeatable()};
  query.choices =
      std::visit([&](const auto& policy) { return policy.Choices(traits); },
                 options_.policy);
  return query;
}

int Dispatcher::WaitingLimit(TaskClass task_class, bool repeatable,
                             int slots) const {
  const TaskTraits traits{task_class, repeatable};
  return std::visit(
      [&](const auto& policy) { return policy.WaitingLimit(traits, slots); },
      options_.policy);
}

WorkerView* Dispatcher::ChooseFor(const Job& job, const Task& task,
                                  TimePoint now) {
  WorkerQuery query = QueryFor(job, task);
  const auto limit = [&](int slots) {
    return WaitingLimit(job.task_class, job.IsRepeatable(), slots);
  };
  query.needs_free_slot = true;
  WorkerView* worker = workers_.Choose(query, limit, now);
  if (worker != nullptr) return worker;
  query.needs_free_slot = false;
  return workers_.Choose(query, limit, now);
}

void Dispatcher::SendOffer(Job& job, std::uint32_t index, WorkerView& worker,
                           TimePoint now) {
  Task& task = job.tasks[index];
  const AttemptId id{options_.incarnation, next_attempt_++};
  const bool has_free_slot = worker.FreeSlots(job.task_class) > 0;
  const TaskTraits traits{job.task_class, job.IsRepeatable()};
  const bool granted = std::visit(
      [&](const auto& policy) {
        return policy.GrantsWithOffer(traits, has_free_slot);
      },
      options_.policy);
  Attempt& attempt = attempts_[id];
  attempt.task = TaskRef{job.id, index};
  attempt.worker = worker.profile.id;
  attempt.sent = now;
  task.attempts.push_back(id);
  worker.attempts.insert(id);
  ++worker.waiting;
  ++counters_.offers;
  Note(EventKind::kOfferSent, now, attempt.task, &id, worker.profile.id.value(),
       granted ? "granted" : "");
  if (granted) {
    MarkGranted(job, task, id, now);
  } else {
    if (task.state == TaskState::kWaiting) task.state = TaskState::kOffered;
    AddTimer(now + kAckTimeout, TimerKind::kUnacknowledged, attempt.task, id);
    offered_.emplace_back(now, attempt.task);
  }
  SendOfferMessage(id, attempt, worker, now);
}

void Dispatcher::SendOfferMessage(const AttemptId& id, const Attempt& attempt,
                                  WorkerView& worker, TimePoint now) {
  const Job& job = jobs_.at(attempt.task.job);
  const Task& task = job.tasks[attempt.task.task];
  Offer offer;
  offer.attempt = id;
  offer.job = job.id;
  offer.task = attempt.task.task;
  offer.service = job.service.name;
  offer.task_class = job.task_class;
  offer.time_left = job.deadline - now;
  offer.size = task.spec.size;
  offer.repeatable = job.IsRepeatable();
  offer.granted = attempt.granted;
  if (attempt.granted) offer.payload = task.spec.payload;
  ++worker.offers_sent;
  Send(worker, std::move(offer));
}

// A task that waits at a busy worker is offered to an idle one as well; the
// first to be ready gets it.
void Dispatcher::OfferWaitingTo(WorkerView& worker, TimePoint now) {
  const bool reoffers =
      std::visit([](const auto& policy) { return policy.ReoffersWaiting(); },
                 options_.policy);
  if (!reoffers || worker.FreeSlots(TaskClass::kUrgent) <= 0) return;
  std::size_t looked_at = 0;
  for (auto item = offered_.begin();
       item != offered_.end() && looked_at < kMostOffersLookedAt; ++looked_at) {
    const auto [since, ref] = *item;
    if (now - since < kReofferUrgent) return;
    const Job* job = FindJob(ref.job);
    const bool stale =
        job == nullptr || job->tasks[ref.task].state != TaskState::kOffered;
    const bool is_young = !stale && job->task_class != TaskClass::kUrgent &&
                          now - since < kReofferOthers;
    if (stale || (!is_young && OfferSecond(ref, worker, now))) {
      item = offered_.erase(item);
    } else {
      ++item;
    }
  }
}

bool Dispatcher::OfferSecond(const TaskRef& ref, WorkerView& worker,
                             TimePoint now) {
  Job& job = jobs_.at(ref.job);
  const Task& task = job.tasks[ref.task];
  if (task.attempts.size() >= kMostAttempts) return true;
  const auto& services = worker.profile.services;
  if (std::ranges::count(services, job.service.name) == 0) return false;
  if (!task.attempts.empty()) {
    const Attempt& first = attempts_.at(task.attempts.front());
    if (first.worker == worker.profile.id) return false;
  }
  WorkerQuery query = QueryFor(job, task);
  query.needs_free_slot = true;
  if (!workers_.Suits(worker, query, now)) return false;
  ++counters_.second_offers;
  SendOffer(job, ref.task, worker, now);
  return true;
}

}  // namespace geranium
