#ifndef GERANIUM_BASE_JSON_DEPTH_H_
#define GERANIUM_BASE_JSON_DEPTH_H_

#include <nlohmann/json.hpp>
#include <string>

namespace geranium {

/// Deepest nesting of arrays and objects that input may have.
inline constexpr int kMaxJsonDepth = 32;

/// Whether the input nests deeper than `kMaxJsonDepth`. Copying a JSON value
/// and reading CBOR recurse with each level, so that a deep input of a few
/// hundred kilobytes would overflow the stack.
bool ExceedsMaxJsonDepth(const std::string& input,
                         nlohmann::json::input_format_t format);

/// Parses JSON text; a discarded value if it is malformed or nested too deeply.
nlohmann::json ParseJson(const std::string& text);

}  // namespace geranium

#endif  // GERANIUM_BASE_JSON_DEPTH_H_
