#ifndef GERANIUM_BASE_MEMORY_LEASE_H_
#define GERANIUM_BASE_MEMORY_LEASE_H_

#include <memory>

namespace geranium {

/// Memory that counts as used by clients until the last copy is destroyed.
using MemoryLease = std::shared_ptr<const void>;

}  // namespace geranium

#endif  // GERANIUM_BASE_MEMORY_LEASE_H_
