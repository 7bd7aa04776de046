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
/// Share of the orders sent to a silent worker.
constexpr double kCarriedOutAfterSilence = 0.5;

}  // namespace

void StepSimulator::RunAgentActions(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  for (SessionAction& action : agent.session->TakeActions()) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      SendOnLink(send->link, true, std::move(send->message));
    } else if (auto* start = std::get_if<StartRun>(&action)) {
      CallWorker(index, *start);
    } else if (auto* stop = std::get_if<StopRun>(&action)) {
      CallWorker(index, *stop);
    } else if (auto* poll = std::get_if<PollRuns>(&action)) {
      AnswerPoll(index, agent.incarnation, agent.worker_life, *poll,
                 now_ + poll->wait);
    } else if (auto* connect = std::get_if<ConnectEntry>(&action)) {
      ConnectAgent(index, connect->address);
    } else if (auto* release =
                   std::get_if<geranium::DisconnectEntry>(&action)) {
      DisconnectAgent(index, release->address);
    } else if (auto* close = std::get_if<CloseLink>(&action)) {
      At(now_, [this, link = close->link] { CloseEnd(link, true); });
    } else if (auto* message = std::get_if<LogMessage>(&action)) {
      RecordLogMessage(agent.name, *message);
    }
  }
}

// ---- calls to workers

template <class Order>
void StepSimulator::CallWorker(int index, const Order& order,
                               bool earlier_copy_lost) {
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
  const auto answer = [this, index, incarnation, order, earlier_copy_lost](
                          TimePoint when, OrderOutcome outcome) {
    outcome.earlier_copy_lost = earlier_copy_lost;
    AtAgent(index, incarnation, when, [=, this](WorkerSession& session) {
      if constexpr (std::is_same_v<Order, StartRun>) {
        session.OnStartEnded(order.run, outcome, now_);
      } else {
        session.OnStopEnded(order.run, outcome, now_);
      }
    });
  };
  const auto execute_late = [this, index, execute,
                             life = agent.worker_life](TimePoint when) {
    At(when, [this, index, execute, life] {
      if (IsReachableLate(index, life)) execute();
    });
  };
  if (agent.worker_refuses) {
    OrderOutcome refused;
    refused.reply = OrderReply::kConnectionRefused;
    return answer(now_ + kCallDelay, refused);
  }
  const WorkerFaults& faults = agent.worker->faults();
  const bool unanswered = call_random_.Chance(faults.unanswered);
  const bool silent = faults.silent || now_ < agent.silent_until;
  const bool answers = agent.worker_alive && !silent && !unanswered;
  if (answers && faults.resets > 0 && call_random_.Chance(faults.resets)) {
    // Carried out before the reset, much later, or never.
    const std::size_t fate = call_random_.Below(3);
    if (fate == 0) execute_late(now_ + kCallDelay);
    if (fate == 1) execute_late(LateTime());
    return AtAgent(index, incarnation, now_ + kCallDelay * 2,
                   [this, index, order](WorkerSession& /*session*/) {
                     CallWorker(index, order, true);
                   });
  }
  if (answers && faults.unhealthy > 0 &&
      call_random_.Chance(faults.unhealthy)) {
    OrderOutcome unhealthy;
    unhealthy.reply = OrderReply::kUnhealthy;
    return answer(now_ + kCallDelay * 2, unhealthy);
  }
  if (!answers) {
    answer(now_ + kOrderTimeout, OrderOutcome{});
    if (!agent.worker_alive) return;
    if (unanswered) return execute_late(LateTime());
    if (faults.silent) return;
    if (agent.silence == Silence::kAnswers) {
      return execute_late(now_ + kCallDelay);
    }
    if (call_random_.Chance(kCarriedOutAfterSilence)) {
      execute_late(agent.silent_until + Duration(static_cast<std::int64_t>(
                                            call_random_.Below(300))));
    }
    return;
  }
  const Duration delay =
      kCallDelay +
      Duration(static_cast<std::int64_t>(call_random_.Below(
          static_cast<std::size_t>(faults.answer_delay.ms()) + 1)));
  At(now_ + kCallDelay, [this, index, execute, answer, delay] {
    if (!agents_[static_cast<std::size_t>(index)]->worker_alive) {
      return answer(now_ + kOrderTimeout, OrderOutcome{});
    }
    const OrderOutcome outcome = execute();
    // An answer that comes after the timeout counts as lost.
    if (delay > kOrderTimeout) {
      return answer(now_ + kOrderTimeout, OrderOutcome{});
    }
    answer(now_ + delay, outcome);
  });
}

bool StepSimulator::IsReachableLate(int index, std::uint64_t life) const {
  const Agent& agent = *agents_[static_cast<std::size_t>(index)];
  return agent.worker_alive &&
         (options_.late_calls_outlive_workers || agent.worker_life == life);
}

TimePoint StepSimulator::LateTime() {
  return now_ +
         Duration(2000 + static_cast<std::int64_t>(call_random_.Below(10'000)));
}

void StepSimulator::AtAgent(int index, std::uint64_t incarnation,
                            TimePoint when,
                            std::function<void(WorkerSession&)> action) {
  At(when, [this, index, incarnation, action = std::move(action)] {
    Agent& agent = *agents_[static_cast<std::size_t>(index)];
    if (!agent.alive || agent.incarnation != incarnation) return;
    if (now_ < agent.frozen_until) {
      return AtAgent(index, incarnation, agent.frozen_until, action);
    }
    action(*agent.session);
    RunAgentActions(index);
  });
}

void StepSimulator::AnswerPoll(int index, std::uint64_t incarnation,
                               std::uint64_t worker_life, const PollRuns& order,
                               TimePoint until) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const auto answer = [this, index, incarnation, number = order.number](
                          TimePoint when, const PollOutcome& outcome) {
    AtAgent(index, incarnation, when, [=, this](WorkerSession& session) {
      session.OnPollEnded(number, outcome, now_);
      session.OnEventsHandled(now_);
    });
  };
  if (agent.worker_life != worker_life) {
    // The connection broke with the worker.
    return answer(now_ + kCallDelay, PollOutcome{});
  }
  if (agent.worker_refuses) {
    PollOutcome refused;
    refused.reply = OrderReply::kConnectionRefused;
    return answer(now_ + kCallDelay, refused);
  }
  const WorkerFaults& faults = agent.worker->faults();
  const bool silent = faults.silent || now_ < agent.silent_until;
  const bool unanswered = call_random_.Chance(faults.unanswered / 20);
  if (!agent.worker_alive || silent || unanswered) {
    answer(until + kOrderTimeout, PollOutcome{});
    if (!agent.worker_alive) return;
    if (unanswered) {
      At(LateTime(), [this, index, order, worker_life] {
        if (!IsReachableLate(index, worker_life)) return;
        agents_[static_cast<std::size_t>(index)]->worker->Poll(order, now_);
      });
    } else if (!faults.silent && agent.silence == Silence::kAnswers) {
      agent.worker->Poll(order, now_);
    }
    return;
  }
  agent.worker->Renew(order, now_);
  if (now_ < until &&
      !agent.worker->HasUnacknowledgedEnd(order.acknowledged_end)) {
    At(now_ + Duration(2), [=, this] {
      AnswerPoll(index, incarnation, worker_life, order, until);
    });
    return;
  }
  answer(now_ + kCallDelay, agent.worker->Poll(order, now_));
}

void StepSimulator::Announce(int index) {
  Agent& agent = *agents_[static_cast<std::size_t>(index)];
  const WorkerAnnouncement announcement = agent.worker->Announce(now_);
  const WorkerFaults& faults = agent.worker->faults();
  if (!call_random_.Chance(faults.late_announcements)) {
    agent.session->OnAnnouncement(announcement, now_);
    return;
  }
  const Duration delay(500 +
                       static_cast<std::int64_t>(call_random_.Below(2500)));
  AtAgent(index, agent.incarnation, now_ + delay,
          [this, announcement](WorkerSession& session) {
            session.OnAnnouncement(announcement, now_);
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
        violated_jobs_.insert(run.task.value().substr(0, kJobIdLength));
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
  // A copy of its request may have been taken in.
  if (job.refused && job.copies == 0)
    AddViolation("a task of refused job " + id + " starts");
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
  if (!violation_descriptions_.insert(description).second) return;
  violations_.push_back("at " + std::to_string(now_.ms()) +
                        " ms: " + description);
}

}  // namespace geranium::standins
