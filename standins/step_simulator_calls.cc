#include <algorithm>
#include <cmath>
#include <utility>

#include "step_simulator.h"
#include "step_simulator_parts.h"

namespace geranium::standins {
namespace {

/// One-way delay between agent and worker.
constexpr Duration kCallDelay{1};
constexpr Duration kOrderTimeout{20};

}  // namespace

void StepSimulator::RunAgentActions(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  for (SessionAction& action : agent.session->TakeActions()) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      At(now_ + options_.link_delay,
         [this, link = send->link, message = send->message] {
           Deliver(link, true, message);
         });
    } else if (auto* start = std::get_if<StartRun>(&action)) {
      CallWorker(index, *start);
    } else if (auto* stop = std::get_if<StopRun>(&action)) {
      CallWorker(index, *stop);
    } else if (auto* poll = std::get_if<PollRuns>(&action)) {
      AnswerPoll(index, agent.incarnation, *poll, now_ + poll->wait);
    } else if (auto* connect = std::get_if<ConnectEntry>(&action)) {
      ConnectAgent(index, connect->address);
    } else if (auto* release =
                   std::get_if<geranium::DisconnectEntry>(&action)) {
      DisconnectAgent(index, release->address);
    } else if (auto* close = std::get_if<CloseLink>(&action)) {
      At(now_, [this, link = close->link] { BreakLink(link); });
    } else if (auto* message = std::get_if<LogMessage>(&action)) {
      RecordLogMessage(agent.name, *message);
    }
  }
}

// ---- calls to workers

template <class Order>
void StepSimulator::CallWorker(int index, const Order& order) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const std::uint64_t incarnation = agent.incarnation;
  const auto execute = [this, index, order]() {
    Agent& target = *agents_[static_cast<std::size_t>(index)];
    if constexpr (std::is_same_v<Order, StartRun>) {
      const OrderOutcome outcome = target.worker->Start(order, now_);
      if (outcome.reply == OrderReply::kAccepted) RecordStart(order.run);
      CheckWorkers();
      return outcome;
    } else {
      return target.worker->Stop(order, now_);
    }
  };
  const auto answer = [this, index, incarnation,
                       order](const OrderOutcome& outcome) {
    Agent& target = *agents_[static_cast<std::size_t>(index)];
    if (!target.alive || target.incarnation != incarnation) return;
    if constexpr (std::is_same_v<Order, StartRun>) {
      target.session->OnStartEnded(order.run, outcome, now_);
    } else {
      target.session->OnStopEnded(order.run, outcome, now_);
    }
    RunAgentActions(index);
  };
  if (agent.worker_refuses) {
    At(now_ + kCallDelay, [answer] {
      OrderOutcome refused;
      refused.reply = OrderReply::kConnectionRefused;
      answer(refused);
    });
    return;
  }
  const bool unanswered =
      call_random_.Chance(agent.worker->faults().unanswered);
  if (!agent.worker_alive || agent.worker->faults().silent || unanswered) {
    At(now_ + kOrderTimeout, [answer] { answer(OrderOutcome{}); });
    if (!agent.worker_alive || !unanswered) return;
    const Duration extra_delay(
        2000 + static_cast<std::int64_t>(call_random_.Below(10'000)));
    At(now_ + extra_delay, [this, index, execute] {
      if (agents_[static_cast<std::size_t>(index)]->worker_alive) execute();
    });
    return;
  }
  At(now_ + kCallDelay, [this, index, execute, answer] {
    const bool crashed =
        agents_[static_cast<std::size_t>(index)]->worker_refuses;
    const OrderOutcome outcome = crashed ? OrderOutcome{} : execute();
    At(now_ + kCallDelay, [answer, outcome] { answer(outcome); });
  });
}

void StepSimulator::AnswerPoll(int index, std::uint64_t incarnation,
                               const PollRuns& order, TimePoint until) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  if (agent.incarnation != incarnation || !agent.alive) return;
  if (agent.worker_refuses) {
    At(now_ + kCallDelay, [this, index, incarnation, number = order.number] {
      Agent& target = *agents_[static_cast<std::size_t>(index)];
      if (!target.alive || target.incarnation != incarnation) return;
      PollOutcome refused;
      refused.reply = OrderReply::kConnectionRefused;
      target.session->OnPollEnded(number, refused, now_);
      target.session->OnEventsHandled(now_);
      RunAgentActions(index);
    });
    return;
  }
  const bool lost = !agent.worker_alive || agent.worker->faults().silent ||
                    call_random_.Chance(agent.worker->faults().unanswered / 20);
  if (lost) {
    At(until + kOrderTimeout,
       [this, index, incarnation, number = order.number] {
         Agent& target = *agents_[static_cast<std::size_t>(index)];
         if (!target.alive || target.incarnation != incarnation) return;
         target.session->OnPollEnded(number, PollOutcome{}, now_);
         target.session->OnEventsHandled(now_);
         RunAgentActions(index);
       });
    return;
  }
  agent.worker->Renew(order, now_);
  if (now_ < until &&
      !agent.worker->HasUnacknowledgedEnd(order.acknowledged_end)) {
    At(now_ + Duration(2), [this, index, incarnation, order, until] {
      AnswerPoll(index, incarnation, order, until);
    });
    return;
  }
  const PollOutcome outcome = agent.worker->Poll(order, now_);
  At(std::max(now_ + kCallDelay, agent.frozen_until),
     [this, index, incarnation, outcome, number = order.number] {
       Agent& target = *agents_[static_cast<std::size_t>(index)];
       if (!target.alive || target.incarnation != incarnation) return;
       target.session->OnPollEnded(number, outcome, now_);
       target.session->OnEventsHandled(now_);
       RunAgentActions(index);
     });
}

void StepSimulator::CheckWorkers() {
  std::map<TaskName, std::string> running;
  for (const auto& agent : agents_) {
    if (!agent->worker_alive) continue;
    const std::string id = agent->worker->self().id.value();
    if (!agent->worker->self().capacity.CanFit([&] {
          Resources used = agent->worker->in_use();
          used.cpu -= 1e-6;
          return used;
        }())) {
      AddViolation(id + " runs tasks beyond its capacity");
    }
    for (const TaskRun& run : agent->worker->running()) {
      const auto [other, is_new] = running.emplace(run.task, id);
      if (!is_new) {
        AddViolation("task " + run.task.value() +
                     " has two concurrent runs, on " + other->second + " and " +
                     id);
      }
    }
  }
}

void StepSimulator::RecordStart(const TaskRun& run) {
  ++starts_;
  const std::string id = run.task.value().substr(0, run.task.value().find('.'));
  started_jobs_.insert(id);
  const Job& job = *jobs_[std::stoul(id, nullptr, 16) - 1];
  if (job.refused) AddViolation("a task of refused job " + id + " starts");
}

std::vector<std::string> StepSimulator::UnansweredJobs() const {
  std::vector<std::string> list;
  for (const auto& job : jobs_) {
    if (job->answer) continue;
    list.push_back(job->kind.name + " " + job->spec.id.value() +
                   " submitted at " + std::to_string(job->submitted_at.ms()) +
                   " ms, submission " + std::to_string(job->attempt) +
                   " to entry-" + std::to_string(job->entry));
  }
  return list;
}

void StepSimulator::AddViolation(const std::string& description) {
  violations_.push_back("at " + std::to_string(now_.ms()) +
                        " ms: " + description);
}

}  // namespace geranium::standins
