#ifndef GERANIUM_SETTINGS_INI_VALUES_H_
#define GERANIUM_SETTINGS_INI_VALUES_H_

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "settings/ini.h"

namespace geranium {

/// Reads an address of the form IP:PORT; host names are rejected.
std::string ReadAddress(IniSection& section, const std::string& key);
std::string ReadAddress(IniSection& section, const std::string& key,
                        const std::string& fallback);
std::vector<std::string> ReadAddresses(IniSection& section,
                                       const std::string& key);
Duration ReadMs(IniSection& section, const std::string& key, Duration fallback,
                std::int64_t min = 1);
/// Fails if the file has a section that is not in `allowed`.
Result<void> CheckSectionNames(const IniFile& file,
                               const std::set<std::string>& allowed);

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_INI_VALUES_H_
