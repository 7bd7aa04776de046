#include "entry/expiring_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace geranium {
namespace {

class ExpiringTableTest {
 protected:
  std::vector<std::string> Keys() const {
    std::vector<std::string> keys;
    table_.ForEach(
        [&](const std::string& key, int /*value*/) { keys.push_back(key); });
    return keys;
  }

  static constexpr Duration kRetention{100};
  ExpiringTable<std::string, int> table_{kRetention, 3};
};

TEST_CASE_METHOD(ExpiringTableTest,
                 "ExpiringTable with an item that is kept again forgets it a "
                 "whole retention later") {
  table_.Keep("a", TimePoint(0)) = 1;
  table_.Keep("b", TimePoint(10));
  CHECK(table_.Keep("a", TimePoint(50)) == 1);
  table_.Expire(TimePoint(110));
  CHECK(Keys() == std::vector<std::string>{"a"});
  table_.Expire(TimePoint(149));
  CHECK(table_.Contains("a"));
  table_.Expire(TimePoint(150));
  CHECK(table_.size() == 0);
  CHECK(table_.forgotten_early() == 0);
}

TEST_CASE_METHOD(ExpiringTableTest,
                 "ExpiringTable with an item that is kept many times holds it "
                 "once") {
  for (int i = 0; i < 1000; ++i) table_.Keep("a", TimePoint(i / 20));
  CHECK(table_.size() == 1);
  CHECK(Keys().size() == 1);
}

TEST_CASE_METHOD(ExpiringTableTest,
                 "ExpiringTable that is full forgets what was kept the longest "
                 "ago, and counts it") {
  for (const char* key : {"a", "b", "c"}) table_.Keep(key, TimePoint(0));
  table_.Keep("a", TimePoint(1));
  table_.Keep("d", TimePoint(2));
  CHECK(Keys() == std::vector<std::string>{"c", "a", "d"});
  CHECK(table_.forgotten_early() == 1);
  CHECK(table_.Find("b") == nullptr);
  CHECK(table_.Find("d") != nullptr);
}

}  // namespace
}  // namespace geranium
