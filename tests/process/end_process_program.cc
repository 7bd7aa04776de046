// Exits with status 3 although the destructor of a static object blocks.

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
