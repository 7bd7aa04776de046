#include "entry/claim_registrar.h"

#include <catch2/catch.hpp>

namespace geranium {
namespace {

/// A registrar whose only entries are called "one" and "two".
class ClaimRegistrarTest {
 protected:
  void Tick() { registrar_.OnTick({"one", "two"}, now_); }

  void Advance(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      now_ = now_ + Duration(100);
      Tick();
    }
  }

  void Open() {
    Tick();
    Receive(kOne, OpenClaims{});
    Receive(kTwo, OpenClaims{});
    Tick();
    (void)registrar_.TakeMessages();
  }

  void Receive(Incarnation from, const Message& message) {
    registrar_.OnMessage(from, from == kOne ? "one" : "two", message, now_);
  }

  ClaimState Claim(Incarnation from, std::uint64_t number, bool held = false) {
    Receive(from, ClaimJob{kJob, number, now_, held});
    return LastAnswer().state;
  }

  ClaimAnswer LastAnswer() {
    ClaimAnswer last;
    for (const auto& [entry, message] : registrar_.TakeMessages()) {
      if (const auto* answer = std::get_if<ClaimAnswer>(&message)) {
        last = *answer;
      }
    }
    return last;
  }

  inline static const Incarnation kOne{1};
  inline static const Incarnation kTwo{2};
  inline static const StepJobId kJob{"0000000000000001"};
  TimePoint now_{1000};
  ClaimRegistrar registrar_;
};

TEST_CASE_METHOD(ClaimRegistrarTest,
                 "ClaimRegistrar with a job claimed by two entries, grants it "
                 "to the second once the first has ended its claim") {
  Open();
  CHECK(Claim(kOne, 1) == ClaimState::kGranted);
  CHECK(Claim(kTwo, 1) == ClaimState::kHeld);
  Receive(kOne, ClaimEnd{kJob, 1});
  const ClaimAnswer answer = LastAnswer();
  CHECK(answer.state == ClaimState::kGranted);
  CHECK(answer.holder == kTwo);
}

TEST_CASE_METHOD(ClaimRegistrarTest,
                 "ClaimRegistrar with the end of an earlier claim read late, "
                 "keeps the later one") {
  Open();
  CHECK(Claim(kOne, 2) == ClaimState::kGranted);
  Receive(kOne, ClaimEnd{kJob, 1});
  CHECK(Claim(kTwo, 1) == ClaimState::kHeld);
}

TEST_CASE_METHOD(ClaimRegistrarTest,
                 "ClaimRegistrar with a silent holder, grants its job to "
                 "another only after the time limit") {
  Open();
  CHECK(Claim(kOne, 1) == ClaimState::kGranted);
  CHECK(Claim(kTwo, 1) == ClaimState::kHeld);
  Advance(ClaimRegistrar::kClaimExpiry - Duration(100));
  CHECK(Claim(kTwo, 1) == ClaimState::kHeld);
  Advance(Duration(200));
  CHECK(LastAnswer().holder == kTwo);
}

TEST_CASE_METHOD(ClaimRegistrarTest,
                 "ClaimRegistrar that has just started, knows what was granted "
                 "before and grants nothing else until the time limit") {
  const bool knew_predecessor = GENERATE(true, false);
  Tick();
  Receive(kOne, OpenClaims{{}, knew_predecessor});
  if (knew_predecessor) Receive(kTwo, OpenClaims{});
  Tick();
  CHECK(Claim(kTwo, 1) == ClaimState::kClosed);
  CHECK(Claim(kOne, 1, true) == ClaimState::kGranted);
  Advance(ClaimRegistrar::kClaimExpiry);
  CHECK(Claim(kTwo, 2) == ClaimState::kHeld);
}

}  // namespace
}  // namespace geranium
