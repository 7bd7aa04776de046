#include "link/codec.h"

#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "base/json_depth.h"
#include "base/shared_text.h"

namespace geranium {
namespace {

using Json = nlohmann::json;

template <class T>
struct IsStrongId : std::false_type {};
template <class Tag, class Rep>
struct IsStrongId<StrongId<Tag, Rep>> : std::true_type {};

template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};

template <class T>
concept IsTime = std::same_as<T, Duration> || std::same_as<T, TimePoint>;

class Writer {
 public:
  explicit Writer(std::vector<SharedText>& texts) : texts_(texts) {}

  template <class T>
  Writer& operator()(T& value) {
    fields_.push_back(Write(value, texts_));
    return *this;
  }

  template <class T>
  static Json Write(T& value, std::vector<SharedText>& texts) {
    if constexpr (std::same_as<T, SharedText>) {
      return WriteShared(value, texts);
    } else if constexpr (IsTime<T>) {
      return value.ms();
    } else if constexpr (IsStrongId<T>::value) {
      return value.value();
    } else if constexpr (std::is_enum_v<T>) {
      return static_cast<int>(value);
    } else if constexpr (IsOptional<T>::value) {
      return value ? Write(*value, texts) : Json(nullptr);
    } else if constexpr (IsVector<T>::value) {
      Json items = Json::array();
      for (auto& item : value) items.push_back(Write(item, texts));
      return items;
    } else if constexpr (std::is_class_v<T> && !std::same_as<T, std::string>) {
      Writer inner(texts);
      value.Fields(inner);
      return std::move(inner.fields_);
    } else {
      return value;
    }
  }

 private:
  // The orders of a job follow each other, so its payload is the last text.
  static Json WriteShared(const SharedText& text,
                          std::vector<SharedText>& texts) {
    if (text.empty()) return "";
    const bool is_new = texts.empty() || !texts.back().IsCopyOf(text);
    if (is_new) texts.push_back(text);
    return texts.size() - 1;
  }

  std::vector<SharedText>& texts_;
  Json fields_ = Json::array();
};

class Reader {
 public:
  Reader(Json& fields, const std::vector<SharedText>& texts)
      : fields_(fields), texts_(texts) {}

  template <class T>
  Reader& operator()(T& value) {
    Read(fields_.at(next_++), value, texts_);
    return *this;
  }

  template <class T>
  static void Read(Json& json, T& value, const std::vector<SharedText>& texts) {
    if constexpr (std::same_as<T, SharedText>) {
      value = json.is_string() ? SharedText(json.get<std::string>())
                               : texts.at(json.get<std::size_t>());
    } else if constexpr (IsTime<T>) {
      value = T(json.get<std::int64_t>());
    } else if constexpr (IsStrongId<T>::value) {
      value = T(json.get<typename T::RepType>());
    } else if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(json.get<int>());
    } else if constexpr (IsOptional<T>::value) {
      if (json.is_null()) return;
      Read(json, value.emplace(), texts);
    } else if constexpr (IsVector<T>::value) {
      for (Json& item : json) Read(item, value.emplace_back(), texts);
    } else if constexpr (std::same_as<T, std::string>) {
      value = std::move(json.get_ref<std::string&>());
    } else if constexpr (std::is_class_v<T>) {
      Reader inner(json, texts);
      value.Fields(inner);
    } else {
      value = json.get<T>();
    }
  }

 private:
  Json& fields_;
  const std::vector<SharedText>& texts_;
  std::size_t next_ = 0;
};

Json WriteMessage(const Message& message, std::vector<SharedText>& texts) {
  // `Fields` serves both directions and is therefore not const; the writer
  // modifies nothing.
  auto& mutable_message = const_cast<Message&>(message);
  Json item = Json::array();
  item.push_back(message.index());
  std::visit([&](auto& typed) { item.push_back(Writer::Write(typed, texts)); },
             mutable_message);
  return item;
}

template <std::size_t... kIndex>
Message ReadMessage(Json& item, const std::vector<SharedText>& texts,
                    std::index_sequence<kIndex...> /*types*/) {
  const auto type = item.at(0).get<std::size_t>();
  if (type >= sizeof...(kIndex)) {
    throw std::out_of_range("unknown message type");
  }
  Message message;
  const auto read_if = [&]<std::size_t kType>() {
    if (type != kType) return;
    auto& typed = message.emplace<kType>();
    Reader::Read(item.at(1), typed, texts);
  };
  (read_if.template operator()<kIndex>(), ...);
  return message;
}

// CBOR, RFC 8949: the head of an array of `count` items.
std::string ArrayHead(std::size_t count) {
  constexpr unsigned kArray = 0x80;
  constexpr unsigned kOneByte = 24;
  constexpr unsigned kFourBytes = 26;
  const auto byte = [](std::size_t value) { return static_cast<char>(value); };
  if (count < kOneByte) return {byte(kArray | count)};
  if (count < 0x100) return {byte(kArray | kOneByte), byte(count)};
  return {byte(kArray | kFourBytes), byte(count >> 24U), byte(count >> 16U),
          byte(count >> 8U), byte(count)};
}

/// The messages of one frame, encoded one by one.
class FrameEncoder {
 public:
  void Add(const Message& message) {
    const std::size_t known = texts_.size();
    Json::to_cbor(WriteMessage(message, texts_), items_);
    for (std::size_t i = known; i < texts_.size(); ++i) {
      text_bytes_ += texts_[i].size();
    }
    ++count_;
  }
  std::size_t size() const { return items_.size() + text_bytes_; }

  /// The frame's bytes; begins the next one.
  std::string Take() {
    std::string bytes = ArrayHead(count_ + (texts_.empty() ? 0 : 1));
    if (!texts_.empty()) {
      // Messages are arrays that begin with a number, this one with an array.
      Json texts = Json::array();
      for (const SharedText& text : texts_) texts.push_back(text.value());
      Json::to_cbor(Json::array({std::move(texts)}), bytes);
    }
    bytes += items_;
    *this = FrameEncoder();
    return bytes;
  }

 private:
  std::vector<SharedText> texts_;
  std::string items_;
  std::size_t count_ = 0;
  std::size_t text_bytes_ = 0;
};

bool HoldsTexts(const Json& item) {
  return item.is_array() && !item.empty() && item[0].is_array();
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  FrameEncoder encoder;
  for (const Message& message : frame) encoder.Add(message);
  return encoder.Take();
}

std::vector<std::string> EncodeFrames(const Frame& frame,
                                      std::size_t max_bytes) {
  std::vector<std::string> frames;
  FrameEncoder encoder;
  for (const Message& message : frame) {
    encoder.Add(message);
    if (encoder.size() >= max_bytes) frames.push_back(encoder.Take());
  }
  if (encoder.size() > 0) frames.push_back(encoder.Take());
  return frames;
}

Result<Frame> DecodeFrame(const std::string& bytes) {
  try {
    if (ExceedsMaxJsonDepth(bytes, Json::input_format_t::cbor)) {
      throw std::out_of_range("nested too deeply");
    }
    Json items = Json::from_cbor(bytes);
    Frame frame;
    std::vector<SharedText> texts;
    for (Json& item : items) {
      if (HoldsTexts(item)) {
        for (Json& text : item[0]) {
          texts.emplace_back(std::move(text.get_ref<std::string&>()));
        }
        continue;
      }
      frame.push_back(ReadMessage(
          item, texts,
          std::make_index_sequence<std::variant_size_v<Message>>()));
    }
    return frame;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kMalformed, "decode frame", "", error.what(),
                 Execution::kNotRun};
  }
}

}  // namespace geranium
