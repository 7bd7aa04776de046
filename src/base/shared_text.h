#ifndef GERANIUM_BASE_SHARED_TEXT_H_
#define GERANIUM_BASE_SHARED_TEXT_H_

#include <memory>
#include <string>
#include <utility>

namespace geranium {

/// An immutable text whose copies share its memory.
class SharedText {
 public:
  SharedText() = default;
  explicit SharedText(std::string text)
      : text_(text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(text))) {}

  const std::string& value() const {
    static const std::string empty;
    return text_ ? *text_ : empty;
  }
  std::size_t size() const { return text_ ? text_->size() : 0; }
  bool empty() const { return text_ == nullptr; }
  /// True if both are copies of one text.
  bool IsCopyOf(const SharedText& other) const { return text_ == other.text_; }

  bool operator==(const SharedText& other) const {
    return value() == other.value();
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace geranium

#endif  // GERANIUM_BASE_SHARED_TEXT_H_
