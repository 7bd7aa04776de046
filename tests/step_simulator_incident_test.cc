#include "step_simulator_fixture.h"

namespace geranium::standins {
namespace {

// Polls find the new incarnation before its announcement tells its capacity.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with workers restarted with less capacity and "
                 "announced late, none runs tasks beyond its capacity") {
  StepSimulatorOptions options = OptionsWithoutLoad();
  StepSimulator simulator(options);
  simulator.Run(TimePoint(1600));
  Resources half = options.worker_capacity;
  half.cpu /= 2;
  for (int i = 0; i < options.workers; ++i) {
    simulator.RestartWorker(i, Duration(10), half, Duration(1000));
  }
  simulator.Run(TimePoint(1800));
  std::vector<int> jobs;
  for (int i = 0; i < 24; ++i) {
    jobs.push_back(simulator.Submit(i % options.entries, LongJob()));
  }
  simulator.Run(TimePoint(9000));
  CheckCompleted(simulator, jobs);
}

// The worker's lease is renewed before it carries out what was held up.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with starts held up by silent workers and "
                 "given up, none of them runs beside a later run") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    StepSimulator simulator(OptionsWithoutLoad(seed));
    simulator.Run(TimePoint(1600));
    for (int i = 0; i < 4; ++i) {
      simulator.SilenceWorker(i, Duration(1300), Silence::kBothWays);
    }
    std::vector<int> jobs;
    for (int i = 0; i < 12; ++i) {
      jobs.push_back(simulator.Submit(i % 4, LongJob()));
    }
    simulator.Run(TimePoint(9000));
    CAPTURE(seed);
    CheckCompleted(simulator, jobs);
  }
}

// It reads that its callers have gone shortly after it goes on, or never.
TEST_CASE_METHOD(StepSimulatorTest,
                 "StepSimulator with an entry frozen until another has taken "
                 "over its jobs, it orders none of their tasks again") {
  const bool is_noticed = GENERATE(true, false);
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    StepSimulator simulator(OptionsWithoutLoad(seed));
    simulator.Run(TimePoint(1600));
    std::vector<int> jobs;
    for (int i = 0; i < 12; ++i) jobs.push_back(simulator.Submit(0, LongJob()));
    const Duration span(2000 + 7 * static_cast<std::int64_t>(seed));
    simulator.At(TimePoint(1650), [&simulator, span, is_noticed] {
      simulator.FreezeEntry(0, span);
      if (is_noticed) return simulator.ResetCallers(0);
      simulator.DropCallers(0);
    });
    simulator.Run(TimePoint(9000));
    CAPTURE(seed, is_noticed);
    CheckCompleted(simulator, jobs);
  }
}

}  // namespace
}  // namespace geranium::standins
