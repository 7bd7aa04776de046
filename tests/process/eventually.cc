#include "process/eventually.h"

#include <chrono>
#include <thread>

namespace geranium::process {

bool Eventually(const std::function<bool()>& holds, Duration patience) {
  const TimePoint until = SystemClock().Now() + patience;
  while (!holds()) {
    if (SystemClock().Now() > until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace geranium::process
