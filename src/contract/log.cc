#include "contract/log.h"

namespace geranium {

std::string_view Name(LogStream stream) {
  return stream == LogStream::kConfiguration ? "configuration" : "claims";
}

}  // namespace geranium
