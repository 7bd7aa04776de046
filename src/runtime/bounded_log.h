#ifndef GERANIUM_RUNTIME_BOUNDED_LOG_H_
#define GERANIUM_RUNTIME_BOUNDED_LOG_H_

#include <cstdint>

#include "base/clock.h"
#include "base/log_note.h"

namespace geranium {

/// Writes log lines up to a rate and counts those that it leaves out, so that
/// logging never takes the processor that requests need.
class BoundedLog {
 public:
  /// Lines a second, on average and at once.
  static constexpr std::int64_t kRate = 50;
  static constexpr std::int64_t kBurst = 200;

  void Write(const LogNote& note, TimePoint now);

 private:
  std::int64_t millitokens_ = kBurst * 1000;
  TimePoint filled_ = TimePoint::Never();
  std::uint64_t left_out_ = 0;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_BOUNDED_LOG_H_
