#ifndef GERANIUM_SETTINGS_INI_H_
#define GERANIUM_SETTINGS_INI_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"

namespace geranium {

/// One section of an INI file, read key by key. Tracks which keys were read, so
/// that unknown ones can be rejected, and keeps the first error.
class IniSection {
 public:
  IniSection(std::string file, std::string name,
             std::map<std::string, std::string> values);

  const std::string& name() const { return name_; }

  std::string Text(const std::string& key, const std::string& fallback);
  /// Value of a mandatory key; its absence is an error.
  std::string Required(const std::string& key);
  std::int64_t Integer(const std::string& key, std::int64_t fallback,
                       std::int64_t min, std::int64_t max);
  bool Flag(const std::string& key, bool fallback);
  /// A comma-separated list.
  std::vector<std::string> List(const std::string& key);

  /// Records an error about `key`; only the first error is kept.
  void AddError(const std::string& key, const std::string& what);

  /// Fails with the recorded error, or if the section has unknown keys.
  Result<void> Finish();

 private:
  std::optional<std::string> Find(const std::string& key);

  std::string file_;
  std::string name_;
  std::map<std::string, std::string> values_;
  std::set<std::string> read_keys_;
  std::optional<std::string> error_;
};

/// The sections of an INI file, in file order.
class IniFile {
 public:
  /// `name` is only used in error messages.
  static Result<IniFile> Parse(const std::string& name,
                               const std::string& text);
  static Result<IniFile> Read(const std::string& path);

  std::vector<IniSection> sections() const;
  /// The section `name`; an empty one if the file has none.
  IniSection Section(const std::string& name) const;

  /// Sets or replaces a value as if the file contained it.
  void Override(const std::string& section, const std::string& key,
                const std::string& value);

 private:
  struct Entry {
    std::string name;
    std::map<std::string, std::string> values;
  };

  std::string file_;
  std::vector<Entry> entries_;
};

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_INI_H_
