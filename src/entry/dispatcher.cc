#include "entry/dispatcher.h"

#include <utility>

namespace geranium {

Dispatcher::Dispatcher(DispatcherOptions options,
                       const Configuration& configuration, Random& random,
                       EventRing& events)
    : options_(std::move(options)),
      configuration_(configuration),
      random_(random),
      events_(events),
      workers_(configuration, random) {}

std::vector<DispatchAction> Dispatcher::TakeActions() {
  return std::exchange(actions_, {});
}

const Job* Dispatcher::FindJob(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

Job* Dispatcher::FindMutableJob(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

void Dispatcher::Send(const WorkerView& worker, Message message) {
  if (!worker.link) return;
  ++counters_.messages_sent;
  actions_.push_back(SendMessage{*worker.link, std::move(message)});
}

void Dispatcher::RecordAttemptEvent(EventKind kind, TimePoint now,
                                    const AttemptId& id, std::string detail) {
  const Attempt& attempt = attempts_.at(id);
  Event event;
  event.at = now;
  event.kind = kind;
  if (attempt.task) event.job = attempt.task->job;
  event.attempt = id;
  event.peer = attempt.worker.value();
  event.detail = std::move(detail);
  events_.Add(std::move(event));
}

void Dispatcher::RecordEvent(EventKind kind, TimePoint now, const TaskRef& task,
                             const AttemptId* attempt, const std::string& peer,
                             std::string detail) {
  Event event;
  event.at = now;
  event.kind = kind;
  event.job = task.job;
  if (attempt != nullptr) event.attempt = *attempt;
  event.peer = peer;
  event.detail = std::move(detail);
  events_.Add(std::move(event));
}

}  // namespace geranium
