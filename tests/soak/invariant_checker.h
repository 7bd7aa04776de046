#ifndef GERANIUM_TESTS_SOAK_INVARIANT_CHECKER_H_
#define GERANIUM_TESTS_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/invariant.h"
#include "contract/task.h"

namespace geranium::soak {

/// A violated invariant, with its name and what was observed.
class Violation : public std::runtime_error {
 public:
  Violation(Invariant invariant, const std::string& detail)
      : std::runtime_error(std::string(Name(invariant)) + ": " + detail) {}
};

/// One operation of a caller, over all its submissions (retries included).
struct Operation {
  std::uint64_t number = 0;
  SubmissionKind kind = SubmissionKind::kJob;
  bool idempotent = false;
  std::optional<IdempotencyKey> key;
  std::size_t tasks = 1;
  int outstanding = 0;   ///< Unanswered submissions.
  bool not_run = false;  ///< Answered so, with none outstanding since.
  std::vector<int> starts;

  std::string TaskId(std::size_t task) const {
    return std::to_string(number) + "/" + std::to_string(task);
  }
};

/// Observes every start at the backend servers and every answer to a caller, in
/// true time, and checks them against the invariants.
class InvariantChecker {
 public:
  /// A data centre taken out of service starts nothing after this.
  static constexpr Duration kOutOfServiceGracePeriod{3000};
  static constexpr Duration kLeavingGracePeriod{3000};

  Operation& AddOperation(Operation operation);
  Operation& Find(std::uint64_t number) { return operations_.at(number); }

  void OnSubmitted(std::uint64_t operation);
  /// No answer will come: the entry died or the caller hung up.
  void OnAbandoned(std::uint64_t operation);
  void OnAnswer(std::uint64_t operation, const JobAnswer& answer);
  void OnRefusal(std::uint64_t operation, const Error& error);
  void OnStart(const std::string& task_id, const DataCentreName& data_centre,
               std::optional<TimePoint> leaving_since, TimePoint now);

  void OnDataCentreChanged(const DataCentreName& name, bool in, TimePoint now);

  std::uint64_t starts() const { return starts_; }
  std::uint64_t complete() const { return complete_; }
  std::uint64_t failed() const { return failed_; }
  std::uint64_t refused() const { return refused_; }
  std::size_t outstanding() const;

 private:
  void Require(Invariant invariant, bool holds, const std::string& detail);
  void CloseSubmission(Operation& operation);
  void CheckOutcome(const Operation& operation, std::size_t task,
                    const TaskOutcome& outcome);

  std::map<std::uint64_t, Operation> operations_;
  std::map<DataCentreName, TimePoint> out_since_;
  std::uint64_t starts_ = 0;
  std::uint64_t complete_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace geranium::soak

#endif  // GERANIUM_TESTS_SOAK_INVARIANT_CHECKER_H_
