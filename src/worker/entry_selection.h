#ifndef GERANIUM_WORKER_ENTRY_SELECTION_H_
#define GERANIUM_WORKER_ENTRY_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"

namespace geranium {

/// Selects the entries to which an agent keeps links: all of them if there are
/// few, otherwise the first ones by rendezvous hashing of the agent's name and
/// the entry's address. The number of links of an agent thus does not grow with
/// the site, and each entry gets an even share.
class EntrySelection {
 public:
  /// An entry without a link for this long is replaced by the next one; it is
  /// still dialled and regains its place once it is linked.
  static constexpr Duration kUnlinkedLimit{1000};

  EntrySelection(std::string agent, std::size_t links)
      : agent_(std::move(agent)), max_links_(links) {}

  /// Adds an entry's link address; returns false if it was known.
  bool Add(const std::string& address, TimePoint now);
  void OnLinked(const std::string& address);
  void OnUnlinked(const std::string& address, TimePoint now);

  /// Updates the selection; call after changes and periodically.
  void Update(TimePoint now);
  /// The entries to which links are kept, linked or not.
  const std::set<std::string>& selected() const { return selected_; }

 private:
  struct Candidate {
    std::string address;
    bool linked = false;
    bool was_selected = false;
    TimePoint state_since{};  ///< When it was selected or its link was lost.
  };

  std::string agent_;
  std::size_t max_links_;
  std::map<std::uint64_t, Candidate> order_;  ///< By hash.
  std::set<std::string> selected_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_ENTRY_SELECTION_H_
