#include <algorithm>
#include <tuple>
#include <utility>

#include "contract/service_config.h"
#include "soak/world.h"

namespace geranium::soak {
namespace {

constexpr Duration kReadEvery{20};
constexpr Duration kReadRetry{100};
constexpr Duration kSettling{2000};
constexpr std::size_t kMostRecords = 500;

}  // namespace

void World::Carry(std::size_t index, const StartCall& action) {
  auto call = std::make_shared<Call>();
  call->agent = index;
  call->generation = process(index).generation;
  call->action = action;
  calls_[action.attempt] = call;
  At(action.timeout, [this, call] {
    EndCall(call, CallReport{CallEnd::kNoAnswer, 0, "", "timeout"});
  });
  const BackendFault fault = process(index).backend;
  if (fault == BackendFault::kRefuses) {
    Count("connection refused");
    EndCall(call, CallReport{CallEnd::kNotConnected, 0, "", "refused"});
    return;
  }
  judge_.OnStart(action.payload, process(index).data_centre,
                 process(index).leaving_since, now_);
  RunCall(call);
}

void World::RunCall(const std::shared_ptr<Call>& call) {
  const BackendFault fault = process(call->agent).backend;
  if (fault == BackendFault::kFrozen) return;
  if (fault == BackendFault::kFails) {
    Count("call failed");
    At(Duration(1), [this, call] {
      EndCall(call, CallReport{CallEnd::kFailed, 500, "", "status 500"});
    });
    return;
  }
  auto run = static_cast<std::int64_t>(10 + random_.Below(120));
  if (fault == BackendFault::kStraggles) run *= 10;
  At(Duration(run), [this, call] {
    EndCall(call,
            CallReport{CallEnd::kAnswered, 200, call->action.payload, ""});
  });
}

void World::EndCall(const std::shared_ptr<Call>& call,
                    const CallReport& report) {
  if (call->ended) return;
  call->ended = true;
  calls_.erase(call->action.attempt);
  if (process(call->agent).generation != call->generation) return;
  Deliver(call->agent, [call, report](Process& reached, TimePoint now) {
    reached.agent->OnCallEnded(call->action.attempt, report, now);
  });
}

void World::Carry(std::size_t /*index*/, const AbortCall& action) {
  const auto found = calls_.find(action.attempt);
  if (found == calls_.end()) return;
  EndCall(found->second, CallReport{CallEnd::kAborted, 0, "", "aborted"});
}

void World::Carry(std::size_t index, const ProbeBackend& /*action*/) {
  const BackendFault fault = process(index).backend;
  const bool answers =
      fault != BackendFault::kFrozen && fault != BackendFault::kRefuses;
  const std::uint64_t generation = process(index).generation;
  At(Duration(5), [this, index, generation, answers] {
    if (process(index).generation != generation) return;
    Deliver(index, [answers](Process& reached, TimePoint now) {
      reached.agent->OnProbeEnded(answers, now);
    });
  });
}

void World::SetBackend(std::size_t agent, BackendFault fault) {
  const bool thaws = process(agent).backend == BackendFault::kFrozen &&
                     fault != BackendFault::kFrozen;
  process(agent).backend = fault;
  if (!thaws) return;
  const auto calls = calls_;
  for (const auto& [attempt, call] : calls) {
    if (call->agent == agent) RunCall(call);
  }
}

// ---- the log

Duration World::LogDelay() {
  const auto usual = static_cast<std::int64_t>(1 + random_.Below(5));
  if (log_fault_ != LogFault::kSlow) return Duration(usual);
  return Duration(usual + static_cast<std::int64_t>(random_.Below(1500)));
}

LogOffset World::Store(LogStream stream, const RecordId& id,
                       const std::string& body) {
  LogStore& store = log_[static_cast<std::size_t>(stream)];
  const LogOffset offset = store.Append(id, body, now_);
  if (stream == LogStream::kConfiguration) FollowTruth();
  return offset;
}

void World::ReadLog(std::size_t index, std::uint64_t generation,
                    LogStream stream) {
  Process& reader = process(index);
  if (!reader.alive || reader.generation != generation) return;
  const auto again = [this, index, generation, stream](Duration after) {
    At(after, [this, index, generation, stream] {
      ReadLog(index, generation, stream);
    });
  };
  if (reader.frozen) {
    again(kReadRetry);
    return;
  }
  const TimePoint sent_at = Local(reader);
  const LogOffset from = reader.entry->LogPosition(stream);
  const Duration there = LogDelay();
  At(there, [this, index, generation, stream, sent_at, from, again] {
    if (process(index).generation != generation) return;
    if (log_fault_ == LogFault::kOutage || process(index).cut_from_log) {
      again(kReadRetry);
      return;
    }
    LogStore& store = log_[static_cast<std::size_t>(stream)];
    store.Expire(now_);
    const LogBatch batch = store.Read(from, kMostRecords, now_);
    At(LogDelay(), [this, index, generation, stream, sent_at, batch, again] {
      // An answer to a process that has ended reaches nobody.
      if (process(index).generation != generation) return;
      Deliver(index, [stream, sent_at, batch](Process& reached, TimePoint now) {
        reached.entry->OnLogRead(stream, batch, sent_at, now);
      });
      again(kReadEvery);
    });
  });
}

void World::Carry(std::size_t index, const AppendRecord& action) {
  const std::uint64_t generation = process(index).generation;
  const auto answer = [this, index, generation, action](bool applied) {
    if (process(index).generation != generation) return;
    Deliver(index, [action, applied](Process& reached, TimePoint now) {
      reached.entry->OnAppendEnded(action.stream, action.id, applied, now);
    });
  };
  At(LogDelay(), [this, index, action, answer] {
    if (log_fault_ == LogFault::kOutage || process(index).cut_from_log) {
      Count("append failed in an outage");
      At(Duration(5), [answer] { answer(false); });
      return;
    }
    Store(action.stream, action.id, action.body);
    const bool lost = log_fault_ == LogFault::kLosesAnswers;
    if (lost) Count("append answer lost");
    At(LogDelay(), [answer, lost] { answer(!lost); });
  });
}

void World::AppendConfiguration(const ConfigurationRecord& record,
                                bool hand_over) {
  if (log_fault_ == LogFault::kOutage) return;
  LogRecord stored;
  stored.id = RecordId("operator-" + std::to_string(random_.Bits()));
  stored.body = EncodeRecord(record);
  stored.offset = Store(LogStream::kConfiguration, stored.id, stored.body);
  if (!hand_over) return;
  LogBatch batch;
  batch.first = LogOffset(1);
  batch.next = LogOffset(stored.offset.value() + 1);
  batch.records.push_back(stored);
  for (std::size_t i = 0; i < options_.entries; ++i) {
    At(Duration(3), [this, i, batch] {
      Deliver(i, [batch](Process& reached, TimePoint now) {
        const LogOffset expected =
            reached.entry->LogPosition(LogStream::kConfiguration);
        if (batch.records.front().offset != expected) return;
        reached.entry->OnLogRead(LogStream::kConfiguration, batch,
                                 TimePoint::Never(), now);
      });
    });
  }
}

void World::FollowTruth() {
  const LogStore& store =
      log_[static_cast<std::size_t>(LogStream::kConfiguration)];
  truth_.Read(store.Read(truth_.position(), kMostRecords, now_), now_);
}

// What the promise about data centres counts from: with the rule `stop`, the
// change's place on the log; with `majority`, the time at which more than half
// of the running processes have it, since no rule could do better for a record
// that nobody was able to read.
void World::NoteVersions() {
  for (const DataCentreState& centre : truth_.state().data_centres) {
    DataCentreState& judged = judged_[centre.name];
    if (judged.changed == centre.changed && judged.in == centre.in) continue;
    std::size_t running = 0;
    std::size_t have = 0;
    for (const auto& other : processes_) {
      if (!other->alive) continue;
      ++running;
      const Configuration& own = other->entry
                                     ? other->entry->configuration()
                                     : other->agent->gate().configuration();
      if (own.version() >= centre.changed) ++have;
    }
    const bool counts = options_.rule == LogOutageRule::kStop || centre.in ||
                        have * 2 > running;
    if (!counts) continue;
    judged = centre;
    judge_.OnDataCentre(centre.name, centre.in, now_);
  }
}

std::string World::Behind() const {
  std::string behind;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const Process& other = *processes_[i];
    if (!other.alive || now_ - other.started_at < kSettling) continue;
    const Configuration& own = other.entry
                                   ? other.entry->configuration()
                                   : other.agent->gate().configuration();
    if (own.version() == truth_.state().version) continue;
    behind += " process " + std::to_string(i) + " has " +
              std::to_string(own.version().value());
  }
  return behind;
}

}  // namespace geranium::soak
