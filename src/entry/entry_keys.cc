#include <algorithm>
#include <charconv>
#include <utility>

#include "base/invariant.h"
#include "entry/entry_node.h"

namespace geranium {
namespace {

constexpr Duration kQueryTimeout{2000};

}  // namespace

void EntryNode::QueryHolder(std::vector<CallerHandle> callers,
                            const KeyClaim& holder, LinkId link,
                            TimePoint now) {
  const std::uint64_t id = next_query_++;
  PendingQuery& pending = queries_[id];
  pending.callers = std::move(callers);
  pending.key = holder.key;
  pending.fingerprint = holder.fingerprint;
  pending.link = link;
  // The holder replies when the job ends, so only the key window bounds this.
  pending.until = now + options_.key_window;
  Send(link, KeyQuery{id, holder.key, holder.fingerprint, JobId{}});
}

void EntryNode::SubmitWithMintedKey(CallerHandle caller, Submission submission,
                                    Incarnation minter, TimePoint now) {
  const IdempotencyKey key = *submission.key;
  if (const JobId* local = FindLocalJob(key)) {
    AttachToHolder({caller}, submission.fingerprint,
                   KeyClaim{key, *local, submission.fingerprint}, now);
    return;
  }
  if (minter == options_.incarnation) {
    StartKeyed(caller, std::move(submission), true, now);
    return;
  }
  const auto link = FindLinkTo(minter);
  if (!link) {
    Refuse(
        {caller},
        MakeError(ErrorCode::kKeyInDoubt, "claim", ToString(minter),
                  "the entry that minted the key is not connected to this one",
                  Execution::kMayHaveRun));
    return;
  }
  QueryMinter(caller, std::move(submission), *link, now);
}

void EntryNode::QueryMinter(CallerHandle caller, Submission submission,
                            LinkId link, TimePoint now) {
  const IdempotencyKey key = *submission.key;
  const std::uint64_t fingerprint = submission.fingerprint;
  auto job = dispatcher_.Submit(std::move(submission), false, now);
  if (!job) {
    RefuseKeyed(caller, key, fingerprint, job.error(), now);
    return;
  }
  job_by_key_[key] = job.value();
  key_expiry_.emplace(now + options_.key_window, key);
  key_by_job_[job.value()] = key;
  AttachToLocalJob({caller}, job.value());
  const std::uint64_t id = next_query_++;
  PendingQuery& pending = queries_[id];
  pending.claiming = job.value();
  pending.key = key;
  pending.fingerprint = fingerprint;
  pending.until = now + kQueryTimeout;
  pending.link = link;
  Send(link, KeyQuery{id, key, fingerprint, job.value()});
}

void EntryNode::On(LinkId link, const KeyQuery& query, TimePoint now) {
  KeyReply reply;
  reply.query = query.query;
  const bool minted_here = MinterOf(query.key) == options_.incarnation;
  const JobId* local = FindLocalJob(query.key);
  if (local == nullptr && minted_here) {
    job_by_key_[query.key] = query.claimant;
    key_expiry_.emplace(now + options_.key_window, query.key);
    reply.state = KeyState::kClaimed;
    reply.holder = query.claimant;
    Send(link, reply);
    return;
  }
  if (local == nullptr) {
    Send(link, reply);
    return;
  }
  reply.holder = *local;
  if (*local == query.claimant && query.claimant.number != 0) {
    reply.state = KeyState::kClaimed;
  } else if (const JobAnswer* answer = answers_.Find(*local)) {
    reply.state = KeyState::kAnswered;
    reply.answer = *answer;
  } else if (dispatcher_.FindJob(*local) != nullptr) {
    remote_waiters_[*local].push_back({link, query.query});
    return;
  } else if (local->entry != options_.incarnation) {
    reply.state = KeyState::kHeldBy;
  }
  Send(link, reply);
}

void EntryNode::On(LinkId /*link*/, const KeyReply& reply, TimePoint now) {
  const auto found = queries_.find(reply.query);
  if (found == queries_.end()) return;
  PendingQuery pending = std::move(found->second);
  queries_.erase(found);
  if (pending.claiming) {
    ResolveMintedKey(std::move(pending), reply, now);
    return;
  }
  if (reply.state == KeyState::kAnswered && reply.answer) {
    if (reply.answer->fingerprint != pending.fingerprint) {
      Refuse(pending.callers,
             MakeError(ErrorCode::kKeyConflict, "claim", options_.id.value(),
                       "the key was used for another request",
                       Execution::kNotRun));
      return;
    }
    for (const CallerHandle& caller : pending.callers) {
      actions_.push_back(ReplyCaller{caller, *reply.answer});
    }
    return;
  }
  FailQuery(pending, "the entry that holds the key no longer knows its job",
            now);
}

void EntryNode::ResolveMintedKey(PendingQuery pending, const KeyReply& reply,
                                 TimePoint now) {
  const JobId job = *pending.claiming;
  if (reply.state == KeyState::kClaimed) {
    dispatcher_.OnClaimDecided(job, std::nullopt, now);
    return;
  }
  KeyTable::Decision decision;
  decision.job = job;
  decision.holder.key = pending.key;
  decision.holder.job = reply.holder;
  decision.holder.fingerprint = pending.fingerprint;
  if (reply.state == KeyState::kUnknown) {
    FailQuery(pending, "the entry that minted the key does not know it", now);
    return;
  }
  if (reply.answer) answers_.Put(*reply.answer, now + kKeylessAnswerRetention);
  ResolveClaim(decision, now);
}

void EntryNode::FailQuery(const PendingQuery& pending, const std::string& why,
                          TimePoint now) {
  Error error = MakeError(ErrorCode::kKeyInDoubt, "claim",
                          std::to_string(pending.link.value()), why,
                          Execution::kMayHaveRun);
  const auto peer = peers_.find(pending.link);
  if (peer != peers_.end() && peer->second.hello) {
    error.peer = peer->second.hello->name;
  }
  Refuse(pending.callers, error);
  if (pending.claiming) {
    dispatcher_.OnClaimDecided(*pending.claiming, error, now);
  }
}

void EntryNode::ExpireQueries(TimePoint now) {
  for (auto item = queries_.begin(); item != queries_.end();) {
    if (item->second.until > now) {
      ++item;
      continue;
    }
    const PendingQuery pending = std::move(item->second);
    item = queries_.erase(item);
    FailQuery(pending, "the entry asked about the key did not reply in time",
              now);
  }
}

void EntryNode::FailQueriesTo(LinkId link, TimePoint now) {
  for (auto item = queries_.begin(); item != queries_.end();) {
    if (item->second.link != link) {
      ++item;
      continue;
    }
    const PendingQuery pending = std::move(item->second);
    item = queries_.erase(item);
    FailQuery(pending, "the link to the entry asked about the key was lost",
              now);
  }
}

// ---- decided claims

void EntryNode::ResolveClaims(TimePoint now) {
  for (const KeyTable::Decision& decision : keys_.TakeDecisions()) {
    ResolveClaim(decision, now);
  }
}

void EntryNode::ResolveClaim(const KeyTable::Decision& decision,
                             TimePoint now) {
  const JobId job = decision.job;
  if (!decision.decided) {
    dispatcher_.OnClaimDecided(
        job,
        MakeError(ErrorCode::kLogOutage, "claim", "log",
                  "the log did not confirm the key's claim in time",
                  Execution::kMayHaveRun),
        now);
    return;
  }
  if (decision.holder.job == job) {
    dispatcher_.OnClaimDecided(job, std::nullopt, now);
    return;
  }
  // Another job holds the key: this one, which has not started, is dropped, and
  // its callers get the answer of the holder.
  std::vector<CallerHandle> callers = std::move(callers_by_job_[job]);
  callers_by_job_.erase(job);
  for (const CallerHandle& caller : callers) job_by_caller_.erase(caller);
  std::uint64_t fingerprint = decision.holder.fingerprint;
  if (const Job* own = dispatcher_.FindJob(job)) {
    fingerprint = own->fingerprint;
  }
  job_by_key_.erase(decision.holder.key);
  key_by_job_.erase(job);
  dispatcher_.OnClaimDecided(
      job,
      MakeError(ErrorCode::kKeyConflict, "claim", options_.id.value(),
                "another job holds the idempotency key", Execution::kNotRun),
      now);
  AttachToHolder(std::move(callers), fingerprint, decision.holder, now);
}

}  // namespace geranium
