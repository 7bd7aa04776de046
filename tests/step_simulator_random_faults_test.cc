#include <cstdlib>
#include <memory>

#include "random_step_faults.h"
#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

class RandomFaultsTest : public StepSimulatorTest {
 protected:
  static constexpr TimePoint kFirstFault{1700};
  static constexpr TimePoint kLastFault{12'000};
  static constexpr TimePoint kEndOfLoad{13'000};
  static constexpr TimePoint kEnd{17'000};
  static constexpr int kFaults = 24;

  struct Size {
    int entries = 4;
    int workers = 11;
    double load_factor = 1;
  };
  static Size SmallSite() { return {4, 11, 1}; }
  static Size LargeSite() { return {8, 20, 2}; }

  static std::vector<StepFault> DrawFaults(std::uint64_t seed, const Size& size,
                                           CallerLoss caller_loss) {
    return RandomStepFaults(seed, size.entries, size.workers,
                            StepSimulatorOptions().worker_capacity, caller_loss)
        .Draw(kFaults, kFirstFault, kLastFault);
  }

  static std::unique_ptr<StepSimulator> Simulate(
      std::uint64_t seed, const Size& size,
      const std::vector<StepFault>& faults) {
    Random random(seed);
    auto simulator =
        std::make_unique<StepSimulator>(RandomSite(seed, size, random));
    for (int i = 0; i < size.workers; ++i) {
      SlowAnswers(simulator->faults(i), random);
    }
    StepSimulator* target = simulator.get();
    for (const StepFault& fault : faults) {
      simulator->At(fault.at,
                    [target, inject = fault.inject] { inject(*target); });
    }
    simulator->Run(kEndOfLoad);
    simulator->Run(kEnd, false);
    return simulator;
  }

  static void CheckSeed(std::uint64_t seed, const Size& size,
                        CallerLoss caller_loss) {
    const std::vector<StepFault> faults = DrawFaults(seed, size, caller_loss);
    const auto simulator = Simulate(seed, size, faults);
    INFO("seed " << seed << ", " << size.entries << " entries");
    for (const StepFault& fault : faults) {
      UNSCOPED_INFO(fault.at.ms() << " " << fault.description);
    }
    CHECK(simulator->starts() > 0);
    CHECK(simulator->violations() == std::vector<std::string>());
  }

  static StepSimulatorOptions RandomSite(std::uint64_t seed, const Size& size,
                                         Random& random) {
    StepSimulatorOptions options = OptionsWithoutLoad(seed);
    options.entries = size.entries;
    options.workers = size.workers;
    options.resend_anywhere = true;
    options.late_calls_outlive_workers = false;
    options.caller_timeout =
        Duration(1500 + static_cast<std::int64_t>(random.Below(4000)));
    const double factor =
        size.load_factor * (0.5 + 0.25 * static_cast<double>(random.Below(7)));
    options.load[0].jobs_per_second = 6 * factor;
    options.load[1].jobs_per_second = 7 * factor;
    options.load[2].jobs_per_second = 15 * factor;
    for (LoadClass& kind : options.load) kind.cpu_sigma = 0.2;
    return options;
  }

  static void SlowAnswers(WorkerFaults& faults, Random& random) {
    if (random.Chance(0.3)) {
      faults.stop_time =
          Duration(1 + static_cast<std::int64_t>(random.Below(50)));
    }
    if (random.Chance(0.3)) {
      faults.answer_delay =
          Duration(1 + static_cast<std::int64_t>(random.Below(25)));
    }
  }
};

TEST_CASE_METHOD(RandomFaultsTest,
                 "StepSimulator with overlapping random faults of every kind, "
                 "no invariant is violated") {
  for (const std::uint64_t seed : {6, 7, 19, 35, 36, 68, 97, 462}) {
    CheckSeed(seed, SmallSite(), CallerLoss::kNoticed);
  }
  for (const std::uint64_t seed : {1, 24, 33}) {
    CheckSeed(seed, LargeSite(), CallerLoss::kNoticed);
  }
}

// Takes FIRST_SEED, SEEDS and UNNOTICED from the environment.
TEST_CASE_METHOD(RandomFaultsTest,
                 "StepSimulator with overlapping random faults, a chosen range "
                 "of seeds",
                 "[.]") {
  const auto number = [](const char* name, std::uint64_t otherwise) {
    const char* value = std::getenv(name);
    return value == nullptr ? otherwise : std::stoull(value);
  };
  const CallerLoss caller_loss = number("UNNOTICED", 0) == 0
                                     ? CallerLoss::kNoticed
                                     : CallerLoss::kPartlyUnnoticed;
  const std::uint64_t first = number("FIRST_SEED", 1);
  for (std::uint64_t i = 0; i < number("SEEDS", 100); ++i) {
    CheckSeed(first + i, SmallSite(), caller_loss);
    CheckSeed(first + i, LargeSite(), caller_loss);
  }
}

}  // namespace
}  // namespace geranium::standins
