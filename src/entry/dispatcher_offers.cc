#include <algorithm>
#include <utility>

#include "entry/dispatcher.h"

namespace geranium {
namespace {

constexpr Duration kAckTimeout{100};

}  // namespace

// ---- queues

void Dispatcher::Enqueue(Job& job, std::uint32_t index, bool at_front) {
  FairQueue& queue = queues_[QueueKeyFor(job)].tasks;
  const TaskRef ref{job.id, index};
  if (at_front) {
    queue.PushFront(job.team, job.weight, ref);
  } else {
    queue.PushBack(job.team, job.weight, ref);
  }
  job.tasks[index].queued = true;
  AdjustWaitingCount(job, 1);
}

void Dispatcher::EnqueueAll(Job& job) {
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) Enqueue(job, i, false);
}

// Only the counters change: a dropped task stays in its queue and is skipped
// when it reaches the head.
void Dispatcher::MarkDequeued(const Job& job, Task& task) {
  if (!task.queued) return;
  task.queued = false;
  AdjustWaitingCount(job, -1);
}

void Dispatcher::AdjustWaitingCount(const Job& job, int change) {
  const auto step = static_cast<std::size_t>(change);
  queues_[QueueKeyFor(job)].waiting += step;
  waiting_by_class_[static_cast<std::size_t>(job.task_class)] += step;
  waiting_tasks_ += step;
}

QueueKey Dispatcher::QueueKeyFor(const Job& job) {
  return QueueKey{job.task_class, job.service.name};
}

std::optional<TaskRef> Dispatcher::PeekWaiting(const QueueKey& key) {
  FairQueue& queue = queues_[key].tasks;
  while (const auto ref = queue.Peek()) {
    const Job* job = FindJob(ref->job);
    if (job != nullptr && job->tasks[ref->task].queued) return ref;
    queue.Pop();
  }
  return std::nullopt;
}

TaskRef Dispatcher::PopWaiting(const QueueKey& key) {
  const TaskRef ref = *PeekWaiting(key);
  queues_[key].tasks.Pop();
  Job& job = jobs_.at(ref.job);
  MarkDequeued(job, job.tasks[ref.task]);
  return ref;
}

std::optional<QueueKey> Dispatcher::NextQueue(
    const std::set<QueueKey>& blocked) {
  ClassPicker::Waiting waiting{};
  const auto is_served = [&](const auto& item) {
    return item.second.waiting > 0 && !blocked.contains(item.first);
  };
  for (const auto& item : queues_) {
    if (!is_served(item)) continue;
    waiting[static_cast<std::size_t>(item.first.task_class)] = true;
  }
  const auto task_class = class_picker_.Pick(waiting);
  if (!task_class) return std::nullopt;
  // Round robin among the services of one class.
  ServiceName& last = last_service_[static_cast<std::size_t>(*task_class)];
  const auto is_next = [&](const auto& item) {
    return item.first.task_class == *task_class && is_served(item);
  };
  auto found = std::find_if(queues_.upper_bound(QueueKey{*task_class, last}),
                            queues_.end(), is_next);
  if (found == queues_.end()) {
    found = std::find_if(queues_.begin(), queues_.end(), is_next);
  }
  last = found->first.service;
  return found->first;
}

// ---- offers

void Dispatcher::DispatchWaiting(TimePoint now) {
  if (!configuration_fresh_ || waiting_tasks_ == 0) return;
  std::set<QueueKey> blocked;
  while (const auto key = NextQueue(blocked)) {
    if (!OfferNext(*key, nullptr, now)) blocked.insert(*key);
  }
}

// Called after a message from a worker: only that worker can have more room.
void Dispatcher::DispatchWaitingTo(WorkerView& worker, TimePoint now) {
  if (!configuration_fresh_ || waiting_tasks_ == 0) return;
  std::set<QueueKey> blocked;
  while (const auto key = NextQueue(blocked)) {
    if (!OfferNext(*key, &worker, now)) blocked.insert(*key);
  }
}

// Makes one more offer for a queue, to the worker `only` if it is given. Offers
// are limited to the number of waiting tasks, but a free slot gets an offer
// even if busy workers already hold that many. Surplus offers serve the tasks
// that are queued next.
bool Dispatcher::OfferNext(const QueueKey& key, WorkerView* only,
                           TimePoint now) {
  const auto head = PeekWaiting(key);
  if (!head) return false;
  const Queue& queue = queues_[key];
  const Job& job = jobs_.at(head->job);
  WorkerQuery query = QueryFor(job, job.tasks[head->task]);
  WorkerView* worker = nullptr;
  query.needs_free_slot = true;
  if (queue.offers_to_free < queue.waiting)
    worker = FindWorker(query, job, only, now);
  if (worker == nullptr && queue.offers < queue.waiting) {
    query.needs_free_slot = false;
    worker = FindWorker(query, job, only, now);
  }
  if (worker == nullptr) return false;
  const bool has_free_slot = worker->FreeSlots(key.task_class) > 0;
  if (GrantsWithOffer(job, has_free_slot)) {
    SendGrantedOffer(PopWaiting(key), *worker, now);
  } else {
    SendOffer(job, query.size, *worker, now);
  }
  return true;
}

WorkerView* Dispatcher::FindWorker(const WorkerQuery& query, const Job& job,
                                   WorkerView* only, TimePoint now) {
  const auto limit = [&](int slots) {
    const TaskTraits traits{job.task_class, job.IsRepeatable()};
    return std::visit(
        [&](const auto& policy) {
          return policy.MaxWaitingOffers(traits, slots);
        },
        options_.policy);
  };
  if (only == nullptr) return workers_.Choose(query, limit, now);
  const auto& services = only->profile.services;
  const bool serves = std::ranges::count(services, query.service) > 0;
  const bool has_room =
      only->HasRoom(query.task_class, limit(only->profile.slots));
  return serves && has_room && workers_.Matches(*only, query, now) ? only
                                                                   : nullptr;
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

bool Dispatcher::GrantsWithOffer(const Job& job, bool has_free_slot) const {
  const TaskTraits traits{job.task_class, job.IsRepeatable()};
  return std::visit(
      [&](const auto& policy) {
        return policy.GrantsWithOffer(traits, has_free_slot);
      },
      options_.policy);
}

AttemptId Dispatcher::OpenAttempt(const Job& job, const Resources& size,
                                  WorkerView& worker) {
  const AttemptId id{options_.incarnation, next_attempt_++};
  Attempt& attempt = attempts_[id];
  attempt.queue = QueueKeyFor(job);
  attempt.size = size;
  attempt.worker = worker.profile.id;
  attempt.to_free_slot = worker.FreeSlots(job.task_class) > 0;
  worker.attempts.insert(id);
  ++worker.pending_offers;
  AdjustOfferCount(attempt, 1);
  ++counters_.offers;
  return id;
}

void Dispatcher::AdjustOfferCount(const Attempt& attempt, int change) {
  const auto step = static_cast<std::size_t>(change);
  Queue& queue = queues_[attempt.queue];
  queue.offers += step;
  if (attempt.to_free_slot) queue.offers_to_free += step;
}

void Dispatcher::SendOffer(const Job& job, const Resources& size,
                           WorkerView& worker, TimePoint now) {
  const AttemptId id = OpenAttempt(job, size, worker);
  RecordAttemptEvent(EventKind::kOfferSent, now, id, "");
  AddTimer(now + kAckTimeout, TimerKind::kUnacknowledged, TaskRef{}, id);
  SendOfferMessage(id, job, worker, now);
}

void Dispatcher::SendGrantedOffer(const TaskRef& ref, WorkerView& worker,
                                  TimePoint now) {
  Job& job = jobs_.at(ref.job);
  const AttemptId id = OpenAttempt(job, job.tasks[ref.task].spec.size, worker);
  MarkGranted(job, ref.task, id, now);
  RecordAttemptEvent(EventKind::kOfferSent, now, id, "granted");
  SendOfferMessage(id, job, worker, now);
}

void Dispatcher::SendOfferMessage(const AttemptId& id, const Job& job,
                                  WorkerView& worker, TimePoint now) {
  const Attempt& attempt = attempts_.at(id);
  Offer offer;
  offer.attempt = id;
  offer.service = job.service.name;
  offer.task_class = job.task_class;
  offer.time_left = job.deadline - now;
  offer.size = attempt.size;
  offer.repeatable = job.IsRepeatable();
  if (attempt.granted()) offer.assignment = AssignmentOf(*attempt.task);
  ++worker.offers_sent;
  Send(worker, std::move(offer));
}

Assignment Dispatcher::AssignmentOf(const TaskRef& ref) const {
  const Task& task = jobs_.at(ref.job).tasks[ref.task];
  return Assignment{ref.job, ref.task, task.spec.payload};
}

}  // namespace geranium
