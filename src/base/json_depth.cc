#include "base/json_depth.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

/// Each level takes a byte, so shorter inputs cannot nest deeply enough to do
/// harm and need no pass of their own.
constexpr std::size_t kHarmlessBytes = 1024;

/// Stops parsing at the first value that is nested too deeply.
class DepthCheck : public nlohmann::json_sax<Json> {
 public:
  bool exceeded() const { return exceeded_; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Enter() {
    exceeded_ = ++depth_ > kMaxJsonDepth;
    return !exceeded_;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool exceeded_ = false;
};

}  // namespace

bool ExceedsMaxJsonDepth(const std::string& input,
                         Json::input_format_t format) {
  if (input.size() <= kHarmlessBytes) return false;
  DepthCheck check;
  (void)Json::sax_parse(input, &check, format);
  return check.exceeded();
}

Json ParseJson(const std::string& text) {
  if (ExceedsMaxJsonDepth(text, Json::input_format_t::json)) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(text, nullptr, false);
}

}  // namespace geranium
