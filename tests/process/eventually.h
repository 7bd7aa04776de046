#ifndef GERANIUM_TESTS_PROCESS_EVENTUALLY_H_
#define GERANIUM_TESTS_PROCESS_EVENTUALLY_H_

#include <functional>

#include "base/clock.h"

namespace geranium::process {

/// Waits until `condition`, for at most `timeout`; the last value of it.
bool Eventually(const std::function<bool()>& condition,
                Duration timeout = Duration(10'000));

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_EVENTUALLY_H_
