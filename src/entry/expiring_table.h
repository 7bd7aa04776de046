#ifndef GERANIUM_ENTRY_EXPIRING_TABLE_H_
#define GERANIUM_ENTRY_EXPIRING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <unordered_map>
#include <utility>

#include "base/clock.h"

namespace geranium {

/// A map of bounded size whose items expire a fixed time after they were last
/// kept. If it is full, a new item replaces the one kept the longest ago.
template <class Key, class Value>
class ExpiringTable {
 public:
  ExpiringTable(Duration retention, std::size_t max_size)
      : retention_(retention), max_size_(max_size) {}

  /// Finds or creates the item and restarts its retention.
  Value& Keep(const Key& key, TimePoint now) {
    const auto found = by_key_.find(key);
    if (found == by_key_.end()) {
      if (by_key_.size() >= max_size_) {
        ++forgotten_early_;
        Erase(items_.front().key);
      }
      items_.push_back({key, now, {}});
      by_key_.emplace(key, std::prev(items_.end()));
      return items_.back().value;
    }
    items_.splice(items_.end(), items_, found->second);
    found->second->kept_at = now;
    return found->second->value;
  }
  /// Restarts the retention of all items.
  void KeepAll(TimePoint now) {
    for (Item& item : items_) item.kept_at = now;
  }
  void Expire(TimePoint now) {
    while (!items_.empty() && now - items_.front().kept_at >= retention_) {
      Erase(items_.front().key);
    }
  }

  /// Null if it is unknown.
  Value* Find(const Key& key) {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &found->second->value;
  }
  const Value* Find(const Key& key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &found->second->value;
  }
  bool Contains(const Key& key) const { return by_key_.contains(key); }

  /// Visits the items, those kept the longest ago first.
  template <class Visit>
  void ForEach(Visit visit) const {
    for (const Item& item : items_) visit(item.key, item.value);
  }

  std::size_t size() const { return by_key_.size(); }
  /// Items replaced before the end of their retention.
  std::uint64_t forgotten_early() const { return forgotten_early_; }

 private:
  struct Item {
    Key key;
    TimePoint kept_at;
    Value value;
  };
  using Items = std::list<Item>;

  void Erase(const Key& key) {
    const auto found = by_key_.find(key);
    const auto item = found->second;
    by_key_.erase(found);
    items_.erase(item);
  }

  Duration retention_;
  std::size_t max_size_;
  std::uint64_t forgotten_early_ = 0;
  Items items_;  ///< In the order in which they were last kept.
  std::unordered_map<Key, typename Items::iterator> by_key_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_EXPIRING_TABLE_H_
