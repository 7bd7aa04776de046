#include "link/codec.h"

#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "base/json_depth.h"

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
  template <class T>
  Writer& operator()(T& value) {
    fields_.push_back(Write(value));
    return *this;
  }

  template <class T>
  static Json Write(T& value) {
    if constexpr (IsTime<T>) {
      return value.ms();
    } else if constexpr (IsStrongId<T>::value) {
      return value.value();
    } else if constexpr (std::is_enum_v<T>) {
      return static_cast<int>(value);
    } else if constexpr (IsOptional<T>::value) {
      return value ? Write(*value) : Json(nullptr);
    } else if constexpr (IsVector<T>::value) {
      Json items = Json::array();
      for (auto& item : value) items.push_back(Write(item));
      return items;
    } else if constexpr (std::is_class_v<T> && !std::same_as<T, std::string>) {
      Writer inner;
      value.Fields(inner);
      return std::move(inner.fields_);
    } else {
      return value;
    }
  }

 private:
  Json fields_ = Json::array();
};

class Reader {
 public:
  explicit Reader(Json& fields) : fields_(fields) {}

  template <class T>
  Reader& operator()(T& value) {
    Read(fields_.at(next_++), value);
    return *this;
  }

  template <class T>
  static void Read(Json& json, T& value) {
    if constexpr (IsTime<T>) {
      value = T(json.get<std::int64_t>());
    } else if constexpr (IsStrongId<T>::value) {
      value = T(json.get<typename T::RepType>());
    } else if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(json.get<int>());
    } else if constexpr (IsOptional<T>::value) {
      if (json.is_null()) return;
      Read(json, value.emplace());
    } else if constexpr (IsVector<T>::value) {
      for (Json& item : json) Read(item, value.emplace_back());
    } else if constexpr (std::same_as<T, std::string>) {
      value = std::move(json.get_ref<std::string&>());
    } else if constexpr (std::is_class_v<T>) {
      Reader inner(json);
      value.Fields(inner);
    } else {
      value = json.get<T>();
    }
  }

 private:
  Json& fields_;
  std::size_t next_ = 0;
};

Json WriteMessage(const Message& message) {
  // `Fields` serves both directions and is therefore not const; the writer
  // modifies nothing.
  auto& mutable_message = const_cast<Message&>(message);
  Json item = Json::array();
  item.push_back(message.index());
  std::visit([&](auto& typed) { item.push_back(Writer::Write(typed)); },
             mutable_message);
  return item;
}

template <std::size_t... kIndex>
Message ReadMessage(Json& item, std::index_sequence<kIndex...> /*types*/) {
  const auto type = item.at(0).get<std::size_t>();
  if (type >= sizeof...(kIndex)) {
    throw std::out_of_range("unknown message type");
  }
  Message message;
  const auto read_if = [&]<std::size_t kType>() {
    if (type != kType) return;
    auto& typed = message.emplace<kType>();
    Reader::Read(item.at(1), typed);
  };
  (read_if.template operator()<kIndex>(), ...);
  return message;
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  Json items = Json::array();
  for (const Message& message : frame) items.push_back(WriteMessage(message));
  std::string bytes;
  Json::to_cbor(items, bytes);
  return bytes;
}

Result<Frame> DecodeFrame(const std::string& bytes) {
  try {
    if (ExceedsMaxJsonDepth(bytes, Json::input_format_t::cbor)) {
      throw std::out_of_range("nested too deeply");
    }
    Json items = Json::from_cbor(bytes);
    Frame frame;
    for (Json& item : items) {
      frame.push_back(ReadMessage(
          item, std::make_index_sequence<std::variant_size_v<Message>>()));
    }
    return frame;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kMalformed, "decode frame", "", error.what(),
                 Execution::kNotRun};
  }
}

}  // namespace geranium
