// Ends with status 3 while a static object's destructor would not return.

#include <chrono>
#include <thread>

#include "runtime/logging.h"

namespace {

struct SlowDestructor {
  ~SlowDestructor() { std::this_thread::sleep_for(std::chrono::minutes(5)); }
};

const SlowDestructor kSlowDestructor;

}  // namespace

int main() {
  geranium::StartLogging("end-process", "test");
  geranium::LogEvent(geranium::LogLevel::kInfo, "stopped", {});
  geranium::FlushLogsAndExit(3);
}
