#ifndef GERANIUM_LINK_CODEC_H_
#define GERANIUM_LINK_CODEC_H_

#include <string>

#include "base/error.h"
#include "link/messages.h"

namespace geranium {

/// A frame in CBOR: an array of messages, each an array of its type's number
/// and its fields in the order of `Fields`.
std::string EncodeFrame(const Frame& frame);

/// The error's step is "decode frame".
Result<Frame> DecodeFrame(const std::string& bytes);

}  // namespace geranium

#endif  // GERANIUM_LINK_CODEC_H_
