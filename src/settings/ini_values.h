#ifndef GERANIUM_SETTINGS_INI_VALUES_H_
#define GERANIUM_SETTINGS_INI_VALUES_H_

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "settings/ini.h"

namespace geranium {

/// An IP number, a colon and a port; anything else is refused.
std::string ReadAddress(IniSection& section, const std::string& key);
std::string ReadAddress(IniSection& section, const std::string& key,
                        const std::string& fallback);
std::vector<std::string> ReadAddresses(IniSection& section,
                                       const std::string& key);
Duration ReadMs(IniSection& section, const std::string& key, Duration fallback,
                std::int64_t min = 1);
/// Refuses a file with a section that is not among `allowed`.
Result<void> CheckSectionNames(const IniFile& file,
                               const std::set<std::string>& allowed);

}  // namespace geranium

#endif  // GERANIUM_SETTINGS_INI_VALUES_H_
