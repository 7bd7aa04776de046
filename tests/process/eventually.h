#ifndef GERANIUM_TESTS_PROCESS_EVENTUALLY_H_
#define GERANIUM_TESTS_PROCESS_EVENTUALLY_H_

#include <functional>

#include "base/clock.h"

namespace geranium::process {

/// Waits until `holds`, for at most `patience`; the last value of it.
bool Eventually(const std::function<bool()>& holds,
                Duration patience = Duration(10'000));

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_EVENTUALLY_H_
