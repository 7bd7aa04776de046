#ifndef GERANIUM_TESTS_PROCESS_EVENTUALLY_H_
#define GERANIUM_TESTS_PROCESS_EVENTUALLY_H_

#include <functional>

#include "base/clock.h"

namespace geranium::process {

/// Polls `condition` until it holds or `timeout` has passed. Returns whether it
/// held.
bool Eventually(const std::function<bool()>& condition,
                Duration timeout = Duration(10'000));

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_EVENTUALLY_H_
