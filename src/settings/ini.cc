#include "settings/ini.h"

#include <boost/algorithm/string.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>

namespace geranium {
namespace {

Error SettingError(const std::string& file, const std::string& message) {
  return Error{ErrorCode::kInvalidSetting, "read settings", file, message,
               Execution::kNotRun};
}

// The parser drops sections without keys. They are reported as errors, since
// an empty section is most likely a mistake.
std::optional<std::string> FindEmptySection(
    const std::string& text, const boost::property_tree::ptree& tree) {
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    boost::trim(line);
    if (!line.starts_with('[') || !line.ends_with(']')) continue;
    std::string name = line.substr(1, line.size() - 2);
    boost::trim(name);
    if (tree.find(name) == tree.not_found()) return name;
  }
  return std::nullopt;
}

}  // namespace

IniSection::IniSection(std::string file, std::string name,
                       std::map<std::string, std::string> values)
    : file_(std::move(file)),
      name_(std::move(name)),
      values_(std::move(values)) {}

std::optional<std::string> IniSection::Find(const std::string& key) {
  read_keys_.insert(key);
  const auto found = values_.find(key);
  if (found == values_.end()) return std::nullopt;
  return found->second;
}

std::string IniSection::Text(const std::string& key,
                             const std::string& fallback) {
  return Find(key).value_or(fallback);
}

std::string IniSection::Required(const std::string& key) {
  const auto value = Find(key);
  if (!value || value->empty()) {
    AddError(key, "is missing or empty; a value is required");
    return "";
  }
  return *value;
}

std::int64_t IniSection::Integer(const std::string& key, std::int64_t fallback,
                                 std::int64_t min, std::int64_t max) {
  const auto text = Find(key);
  if (!text) return fallback;
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [stop, status] = std::from_chars(text->data(), end, value);
  if (status != std::errc() || stop != end || value < min || value > max) {
    AddError(key, "is '" + *text + "'; expected an integer from " +
                      std::to_string(min) + " to " + std::to_string(max) +
                      " without a unit");
    return fallback;
  }
  return value;
}

bool IniSection::Flag(const std::string& key, bool fallback) {
  const auto text = Find(key);
  if (!text) return fallback;
  if (*text == "true") return true;
  if (*text == "false") return false;
  AddError(key, "is '" + *text + "'; expected true or false");
  return fallback;
}

std::vector<std::string> IniSection::List(const std::string& key) {
  const std::string text = Text(key, "");
  std::vector<std::string> parts;
  std::vector<std::string> found;
  boost::split(parts, text, boost::is_any_of(","));
  for (std::string& part : parts) {
    boost::trim(part);
    if (!part.empty()) found.push_back(part);
  }
  return found;
}

void IniSection::AddError(const std::string& key, const std::string& what) {
  if (error_) return;
  error_ = file_ + ": section [" + name_ + "], key '" + key + "' " + what;
}

Result<void> IniSection::Finish() {
  for (const auto& [key, value] : values_) {
    if (read_keys_.contains(key)) continue;
    AddError(key, "is unknown; known keys: " + boost::join(read_keys_, ", "));
  }
  if (error_) return SettingError(file_, *error_);
  return boost::outcome_v2::success();
}

Result<IniFile> IniFile::Parse(const std::string& name,
                               const std::string& text) {
  boost::property_tree::ptree tree;
  std::istringstream stream(text);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return SettingError(name, name + ": line " + std::to_string(error.line()) +
                                  ": " + error.message());
  }
  if (const auto empty = FindEmptySection(text, tree)) {
    return SettingError(name, name + ": section [" + *empty + "] has no keys");
  }
  IniFile file;
  file.file_ = name;
  for (const auto& [section, keys] : tree) {
    if (keys.empty() && !keys.data().empty()) {
      return SettingError(name, name + ": key '" + section +
                                    "' appears before the first section");
    }
    Entry entry{section, {}};
    for (const auto& [key, value] : keys) entry.values[key] = value.data();
    file.entries_.push_back(std::move(entry));
  }
  return file;
}

Result<IniFile> IniFile::Read(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) return SettingError(path, path + ": cannot open file");
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(path, text.str());
}

std::vector<IniSection> IniFile::sections() const {
  std::vector<IniSection> found;
  for (const Entry& entry : entries_) {
    found.emplace_back(file_, entry.name, entry.values);
  }
  return found;
}

IniSection IniFile::Section(const std::string& name) const {
  for (const Entry& entry : entries_) {
    if (entry.name == name) return {file_, name, entry.values};
  }
  return {file_, name, {}};
}

void IniFile::Override(const std::string& section, const std::string& key,
                       const std::string& value) {
  for (Entry& entry : entries_) {
    if (entry.name != section) continue;
    entry.values[key] = value;
    return;
  }
  entries_.push_back(Entry{section, {{key, value}}});
}

}  // namespace geranium
