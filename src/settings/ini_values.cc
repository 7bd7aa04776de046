#include "settings/ini_values.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace geranium {
namespace {

constexpr std::int64_t kMaxMs = 86'400'000;

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error) return false;
  int port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] =
      std::from_chars(text.data() + colon + 1, end, port);
  return status == std::errc() && stop == end && port >= 1 && port <= 65535;
}

std::string ValidateAddress(IniSection& section, const std::string& key,
                            std::string address) {
  if (!address.empty() && !IsAddress(address)) {
    section.AddError(
        key, "is '" + address + "'; expected IP:PORT with a numeric address");
  }
  return address;
}

}  // namespace

std::string ReadAddress(IniSection& section, const std::string& key) {
  return ValidateAddress(section, key, section.Required(key));
}

std::string ReadAddress(IniSection& section, const std::string& key,
                        const std::string& fallback) {
  return ValidateAddress(section, key, section.Text(key, fallback));
}

std::vector<std::string> ReadAddresses(IniSection& section,
                                       const std::string& key) {
  std::vector<std::string> addresses = section.List(key);
  for (const std::string& address : addresses) {
    if (IsAddress(address)) continue;
    section.AddError(
        key, "has '" + address + "'; expected IP:PORT with a numeric address");
  }
  return addresses;
}

Duration ReadMs(IniSection& section, const std::string& key, Duration fallback,
                std::int64_t min) {
  return Duration(section.Integer(key, fallback.ms(), min, kMaxMs));
}

Result<void> CheckSectionNames(const IniFile& file,
                               const std::set<std::string>& allowed) {
  for (const IniSection& section : file.sections()) {
    if (allowed.contains(section.name())) continue;
    std::string names;
    for (const std::string& name : allowed) names += " [" + name + "]";
    return Error{
        ErrorCode::kInvalidSetting, "read settings", "",
        "section [" + section.name() + "] is unknown; known sections:" + names,
        Execution::kNotRun};
  }
  return boost::outcome_v2::success();
}

}  // namespace geranium
