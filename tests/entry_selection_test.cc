#include "worker/entry_selection.h"

#include <catch2/catch.hpp>
#include <map>

namespace geranium {
namespace {

constexpr std::size_t kMaxLinks = 4;

class EntrySelectionTest {
 protected:
  static std::string Address(int entry) {
    return "10.0.0." + std::to_string(entry) + ":7000";
  }

  static EntrySelection MakeSelection(const std::string& agent, int entries) {
    EntrySelection selection(agent, kMaxLinks);
    for (int i = 0; i < entries; ++i) selection.Add(Address(i), kStart);
    for (const std::string& address : std::set(selection.selected())) {
      selection.OnLinked(address);
    }
    selection.Update(kStart);
    return selection;
  }

  static constexpr TimePoint kStart{1000};
  static constexpr Duration kPastUnlinkedLimit =
      EntrySelection::kUnlinkedLimit * 2;
};

TEST_CASE_METHOD(
    EntrySelectionTest,
    "EntrySelection with no more entries than links selects all entries") {
  CHECK(MakeSelection("agent", 3).selected().size() == 3);
  CHECK(MakeSelection("agent", 4).selected().size() == 4);
}

TEST_CASE_METHOD(
    EntrySelectionTest,
    "EntrySelection with many entries spreads the agents evenly over them") {
  std::map<std::string, int> counts;
  for (int agent = 0; agent < 200; ++agent) {
    const auto selection = MakeSelection("agent-" + std::to_string(agent), 10);
    CHECK(selection.selected().size() == kMaxLinks);
    for (const std::string& address : selection.selected()) ++counts[address];
  }
  CHECK(counts.size() == 10);
  for (const auto& [address, count] : counts) {
    CAPTURE(address);
    // 80 on average; a binomial count is beyond these bounds once in 10,000.
    CHECK(count > 53);
    CHECK(count < 107);
  }
}

TEST_CASE_METHOD(EntrySelectionTest,
                 "EntrySelection when a selected entry stays unlinked, adds "
                 "another until it is linked again") {
  EntrySelection selection = MakeSelection("agent", 10);
  const std::set<std::string> before = selection.selected();
  const std::string lost = *before.begin();
  selection.OnUnlinked(lost, kStart);
  selection.Update(kStart + Duration(1));
  CHECK(selection.selected() == before);
  selection.Update(kStart + kPastUnlinkedLimit);
  CHECK(selection.selected().size() == kMaxLinks + 1);
  CHECK(selection.selected().contains(lost));
  selection.OnLinked(lost);
  selection.Update(kStart + kPastUnlinkedLimit);
  CHECK(selection.selected() == before);
}

TEST_CASE_METHOD(EntrySelectionTest,
                 "EntrySelection when an entry is added, replaces at most one "
                 "selected entry") {
  for (int agent = 0; agent < 20; ++agent) {
    EntrySelection selection =
        MakeSelection("agent-" + std::to_string(agent), 10);
    const std::set<std::string> before = selection.selected();
    selection.Add(Address(99), kStart);
    int kept = 0;
    for (const std::string& address : selection.selected()) {
      kept += before.contains(address) ? 1 : 0;
    }
    CHECK(kept >= static_cast<int>(kMaxLinks) - 1);
  }
}

TEST_CASE_METHOD(
    EntrySelectionTest,
    "EntrySelection when all entries stay unlinked, selects all entries") {
  EntrySelection selection = MakeSelection("agent", 10);
  for (int round = 1; round <= 10; ++round) {
    for (int i = 0; i < 10; ++i) selection.OnUnlinked(Address(i), kStart);
    selection.Update(kStart + kPastUnlinkedLimit * round);
  }
  CHECK(selection.selected().size() == 10);
}

}  // namespace
}  // namespace geranium
