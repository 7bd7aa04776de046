#include <algorithm>
#include <tuple>
#include <utility>

#include "contract/service_config.h"
#include "soak/simulator.h"

namespace geranium::soak {
namespace {

constexpr Duration kReadInterval{20};
constexpr Duration kReadRetryDelay{100};
constexpr Duration kStartGracePeriod{2000};
constexpr std::size_t kMaxRecords = 500;

}  // namespace

void Simulator::Execute(std::size_t index, const StartCall& action) {
  auto call = std::make_shared<Call>();
  call->agent = index;
  call->generation = process(index).generation;
  call->action = action;
  calls_[action.attempt] = call;
  Schedule(action.timeout, [this, call] {
    EndCall(call, CallReport{CallEnd::kNoAnswer, 0, "", "timeout"});
  });
  const BackendFault fault = process(index).backend;
  if (fault == BackendFault::kRefuses) {
    CountFault("connection refused");
    EndCall(call, CallReport{CallEnd::kNotConnected, 0, "", "refused"});
    return;
  }
  checker_.OnStart(action.payload, process(index).data_centre,
                   process(index).leaving_since, now_);
  RunCall(call);
}

void Simulator::RunCall(const std::shared_ptr<Call>& call) {
  const BackendFault fault = process(call->agent).backend;
  if (fault == BackendFault::kFrozen) return;
  if (fault == BackendFault::kFails) {
    CountFault("call failed");
    Schedule(Duration(1), [this, call] {
      EndCall(call, CallReport{CallEnd::kFailed, 500, "", "status 500"});
    });
    return;
  }
  auto run = static_cast<std::int64_t>(10 + random_.Below(120));
  if (fault == BackendFault::kStraggles) run *= 10;
  Schedule(Duration(run), [this, call] {
    EndCall(call,
            CallReport{CallEnd::kAnswered, 200, call->action.payload, ""});
  });
}

void Simulator::EndCall(const std::shared_ptr<Call>& call,
                        const CallReport& report) {
  if (call->ended) return;
  call->ended = true;
  calls_.erase(call->action.attempt);
  if (process(call->agent).generation != call->generation) return;
  Deliver(call->agent, [call, report](Process& reached, TimePoint now) {
    reached.agent->OnCallEnded(call->action.attempt, report, now);
  });
}

void Simulator::Execute(std::size_t /*index*/, const AbortCall& action) {
  const auto found = calls_.find(action.attempt);
  if (found == calls_.end()) return;
  EndCall(found->second, CallReport{CallEnd::kAborted, 0, "", "aborted"});
}

void Simulator::Execute(std::size_t index, const ProbeBackend& /*action*/) {
  const BackendFault fault = process(index).backend;
  const bool answers =
      fault != BackendFault::kFrozen && fault != BackendFault::kRefuses;
  const std::uint64_t generation = process(index).generation;
  Schedule(Duration(5), [this, index, generation, answers] {
    if (process(index).generation != generation) return;
    Deliver(index, [answers](Process& reached, TimePoint now) {
      reached.agent->OnProbeEnded(answers, now);
    });
  });
}

void Simulator::SetBackendFault(std::size_t agent, BackendFault fault) {
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

Duration Simulator::LogDelay() {
  const auto usual = static_cast<std::int64_t>(1 + random_.Below(5));
  if (log_fault_ != LogFault::kSlow) return Duration(usual);
  return Duration(usual + static_cast<std::int64_t>(random_.Below(1500)));
}

LogOffset Simulator::AppendToLog(LogStream stream, const RecordId& id,
                                 const std::string& body) {
  LogStore& store = log_[static_cast<std::size_t>(stream)];
  const LogOffset offset = store.Append(id, body, now_);
  if (stream == LogStream::kConfiguration) UpdateReferenceState();
  return offset;
}

void Simulator::ReadLog(std::size_t index, std::uint64_t generation,
                        LogStream stream) {
  Process& reader = process(index);
  if (!reader.alive || reader.generation != generation) return;
  const auto again = [this, index, generation, stream](Duration after) {
    Schedule(after, [this, index, generation, stream] {
      ReadLog(index, generation, stream);
    });
  };
  if (reader.frozen) {
    again(kReadRetryDelay);
    return;
  }
  const TimePoint sent_at = LocalTime(reader);
  const LogOffset from = reader.entry->LogPosition(stream);
  const Duration there = LogDelay();
  Schedule(there, [this, index, generation, stream, sent_at, from, again] {
    if (process(index).generation != generation) return;
    if (log_fault_ == LogFault::kOutage || process(index).log_unreachable) {
      again(kReadRetryDelay);
      return;
    }
    LogStore& store = log_[static_cast<std::size_t>(stream)];
    store.Expire(now_);
    const LogBatch batch = store.Read(from, kMaxRecords, now_);
    Schedule(LogDelay(), [this, index, generation, stream, sent_at, batch,
                          again] {
      // The answer is dropped if the process was restarted meanwhile.
      if (process(index).generation != generation) return;
      Deliver(index, [stream, sent_at, batch](Process& reached, TimePoint now) {
        reached.entry->OnLogRead(stream, batch, sent_at, now);
      });
      again(kReadInterval);
    });
  });
}

void Simulator::Execute(std::size_t index, const AppendRecord& action) {
  const std::uint64_t generation = process(index).generation;
  const auto answer = [this, index, generation, action](bool applied) {
    if (process(index).generation != generation) return;
    Deliver(index, [action, applied](Process& reached, TimePoint now) {
      reached.entry->OnAppendEnded(action.stream, action.id, applied, now);
    });
  };
  Schedule(LogDelay(), [this, index, action, answer] {
    if (log_fault_ == LogFault::kOutage || process(index).log_unreachable) {
      CountFault("append failed in an outage");
      Schedule(Duration(5), [answer] { answer(false); });
      return;
    }
    AppendToLog(action.stream, action.id, action.body);
    const bool lost = log_fault_ == LogFault::kLosesAnswers;
    if (lost) CountFault("append answer lost");
    Schedule(LogDelay(), [answer, lost] { answer(!lost); });
  });
}

void Simulator::AppendConfiguration(const ConfigurationRecord& record,
                                    bool push_to_entries) {
  if (log_fault_ == LogFault::kOutage) return;
  LogRecord stored;
  stored.id = RecordId("operator-" + std::to_string(random_.Bits()));
  stored.body = EncodeRecord(record);
  stored.offset =
      AppendToLog(LogStream::kConfiguration, stored.id, stored.body);
  if (!push_to_entries) return;
  LogBatch batch;
  batch.first = LogOffset(1);
  batch.next = LogOffset(stored.offset.value() + 1);
  batch.records.push_back(stored);
  for (std::size_t i = 0; i < options_.entries; ++i) {
    Schedule(Duration(3), [this, i, batch] {
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

void Simulator::UpdateReferenceState() {
  const LogStore& store =
      log_[static_cast<std::size_t>(LogStream::kConfiguration)];
  reference_.Read(store.Read(reference_.position(), kMaxRecords, now_), now_);
}

// Reports when a change of a data centre starts to count for the invariant:
// with the rule `stop`, once it is on the log; with `majority`, once more than
// half of the running processes have it, since no rule could do better for a
// record that no process was able to read.
void Simulator::UpdateCheckedDataCentres() {
  for (const DataCentreState& centre : reference_.state().data_centres) {
    DataCentreState& checked = checked_data_centres_[centre.name];
    if (checked.changed == centre.changed && checked.in == centre.in) continue;
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
    const bool counts = options_.log_outage_rule == LogOutageRule::kStop ||
                        centre.in || have * 2 > running;
    if (!counts) continue;
    checked = centre;
    checker_.OnDataCentreChanged(centre.name, centre.in, now_);
  }
}

std::string Simulator::StaleProcesses() const {
  std::string stale;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const Process& other = *processes_[i];
    if (!other.alive || now_ - other.started_at < kStartGracePeriod) continue;
    const Configuration& own = other.entry
                                   ? other.entry->configuration()
                                   : other.agent->gate().configuration();
    if (own.version() == reference_.state().version) continue;
    stale += " process " + std::to_string(i) + " has " +
             std::to_string(own.version().value());
  }
  return stale;
}

}  // namespace geranium::soak
