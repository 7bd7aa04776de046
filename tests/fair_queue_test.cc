#include "entry/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>

namespace geranium {
namespace {

class FairQueueTest {
 protected:
  static TaskRef MakeRef(std::uint64_t job) {
    return TaskRef{JobId{Incarnation(1), job}, 0};
  }

  FairQueue queue_;
  const TeamName north_{"north"};
  const TeamName south_{"south"};
};

TEST_CASE_METHOD(FairQueueTest,
                 "FairQueue with two backlogged teams serves them in "
                 "proportion to their weights") {
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue_.PushBack(north_, 3, MakeRef(i));
    queue_.PushBack(south_, 1, MakeRef(1000 + i));
  }
  std::map<bool, int> served;
  for (int i = 0; i < 40; ++i) ++served[queue_.Pop()->job.number < 1000];
  CHECK(served[true] == 30);
  CHECK(served[false] == 10);
}

TEST_CASE_METHOD(FairQueueTest,
                 "FairQueue with one team serves all its tasks in order") {
  for (std::uint64_t i = 0; i < 5; ++i) queue_.PushBack(north_, 1, MakeRef(i));
  for (std::uint64_t i = 0; i < 5; ++i) CHECK(*queue_.Pop() == MakeRef(i));
  CHECK_FALSE(queue_.Pop().has_value());
}

TEST_CASE_METHOD(
    FairQueueTest,
    "FairQueue with a task pushed back to the front pops it first") {
  queue_.PushBack(north_, 1, MakeRef(1));
  queue_.PushBack(north_, 1, MakeRef(2));
  const TaskRef popped = *queue_.Pop();
  queue_.PushFront(north_, 1, popped);
  CHECK(*queue_.Pop() == MakeRef(1));
  CHECK(queue_.size() == 1);
}

}  // namespace
}  // namespace geranium
