#include "process/eventually.h"

#include <chrono>
#include <thread>

namespace geranium::process {

bool Eventually(const std::function<bool()>& condition, Duration timeout) {
  const TimePoint deadline = SystemClock().Now() + timeout;
  while (!condition()) {
    if (SystemClock().Now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace geranium::process
