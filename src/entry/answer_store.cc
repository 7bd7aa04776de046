#include "entry/answer_store.h"

namespace geranium {
namespace {

std::size_t SizeOf(const JobAnswer& answer) {
  std::size_t bytes = sizeof(JobAnswer);
  for (const TaskOutcome& outcome : answer.outcomes) {
    bytes += sizeof(TaskOutcome) + outcome.body.size();
  }
  return bytes;
}

}  // namespace

void AnswerStore::Put(const JobAnswer& answer, TimePoint until) {
  bytes_ += SizeOf(answer);
  answers_[answer.job] = answer;
  expiry_.emplace(until, answer.job);
  while (bytes_ > kMaxBytes) EvictEarliest();
}

const JobAnswer* AnswerStore::Find(const JobId& job) const {
  const auto found = answers_.find(job);
  return found == answers_.end() ? nullptr : &found->second;
}

void AnswerStore::Expire(TimePoint now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) EvictEarliest();
}

void AnswerStore::EvictEarliest() {
  const auto found = answers_.find(expiry_.begin()->second);
  bytes_ -= SizeOf(found->second);
  answers_.erase(found);
  expiry_.erase(expiry_.begin());
}

}  // namespace geranium
