#ifndef GERANIUM_OPERATOR_COMMANDS_H_
#define GERANIUM_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "operator/site_client.h"

namespace geranium {

/// Exit statuses of `geraniumctl`.
enum class CtlExit {
  kOk = 0,
  kRefused = 1,     ///< Invalid, or failed without changing anything.
  kConflict = 2,    ///< A newer version is in force.
  kUnknown = 3,     ///< The change may or may not have been made.
  kNotInForce = 4,  ///< Accepted, but not in force everywhere on time.
  kNoInput = 66     ///< A file cannot be read.
};

struct CtlOptions {
  bool json = false;
  bool wait = true;
  Duration timeout{10'000};
  std::optional<std::int64_t> edited_from;
  std::string output_file;
  std::string in_force_file;
};

/// The commands of `geraniumctl`, one function each. Results go to standard
/// output, progress to standard error.
class Commands {
 public:
  Commands(const SiteClient& site, CtlOptions options)
      : site_(site), options_(std::move(options)) {}

  CtlExit Check(const std::string& file) const;
  /// Checks a manifest of the platform's routes and compares it with the one
  /// in `options.in_force_file`, if any.
  CtlExit CheckRoutes(const std::string& file) const;
  CtlExit Publish(const std::string& file) const;
  CtlExit Show() const;
  CtlExit History() const;
  CtlExit SetDataCentre(const std::string& name, bool in) const;
  CtlExit Status() const;
  CtlExit DrainWorker(const std::string& worker) const;
  CtlExit Wait(Version version) const;

 private:
  CtlExit Fail(const Error& error, CtlExit exit = CtlExit::kRefused) const;
  CtlExit Finish(const ChangeOutcome& outcome) const;
  void ShowConflict(const std::string& text, Version edited_from) const;
  void PrintProgress(const RolloutProgress& progress, Duration since) const;

  const SiteClient& site_;
  CtlOptions options_;
};

}  // namespace geranium

#endif  // GERANIUM_OPERATOR_COMMANDS_H_
