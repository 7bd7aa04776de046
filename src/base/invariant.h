#ifndef GERANIUM_BASE_INVARIANT_H_
#define GERANIUM_BASE_INVARIANT_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace geranium {

/// The invariants of docs/INVARIANTS.md that are checked at run time.
enum class Invariant {
  kStartsAtMostOnce,
  kAnswerCompleteOrFailed,
  kNoStartInDataCentreOut,
  kAnswerBelongsToRequest,
  kNotRunIsTrue,
  kNonIdempotentOnce,
  kLeavingGetsNoWork,
  kShutdownCutsNothing,
  kConfigurationNeverReverts,
  kCount,
};

std::string_view Name(Invariant invariant);

/// Counts the checks of each invariant and their violations. The checks are
/// always enabled; a violation also calls the handler.
class InvariantMonitor {
 public:
  using Handler =
      std::function<void(Invariant invariant, const std::string& detail)>;
  static constexpr std::size_t kInvariantCount =
      static_cast<std::size_t>(Invariant::kCount);

  static InvariantMonitor& Global();

  /// Sets the violation handler; there is none by default.
  void SetHandler(Handler handler) { handler_ = std::move(handler); }

  /// Counts one check of `invariant`; returns `holds`.
  bool Check(Invariant invariant, bool holds, std::string_view detail);

  std::uint64_t checks(Invariant invariant) const;
  std::uint64_t violations(Invariant invariant) const;
  void Reset();

 private:
  std::array<std::atomic<std::uint64_t>, kInvariantCount> checks_{};
  std::array<std::atomic<std::uint64_t>, kInvariantCount> violations_{};
  Handler handler_;
};

/// Checks `invariant` with the process-wide monitor; returns `holds`.
bool CheckInvariant(Invariant invariant, bool holds, std::string_view detail);

}  // namespace geranium

#endif  // GERANIUM_BASE_INVARIANT_H_
