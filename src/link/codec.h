#ifndef GERANIUM_LINK_CODEC_H_
#define GERANIUM_LINK_CODEC_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/error.h"
#include "link/messages.h"

namespace geranium {

/// A frame in CBOR: an array of messages, each an array of its type's number
/// and its fields in the order of `Fields`. If messages share texts, the first
/// item is an array of an array of these, and fields hold their indices.
std::string EncodeFrame(const Frame& frame);
/// The same in several frames, each of which ends with the message that takes
/// it to `max_bytes`.
std::vector<std::string> EncodeFrames(const Frame& frame,
                                      std::size_t max_bytes);

/// The error's step is "decode frame".
Result<Frame> DecodeFrame(const std::string& bytes);

}  // namespace geranium

#endif  // GERANIUM_LINK_CODEC_H_
