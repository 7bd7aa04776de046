#ifndef GERANIUM_OPERATOR_LINE_DIFF_H_
#define GERANIUM_OPERATOR_LINE_DIFF_H_

#include <string>

namespace geranium {

/// Line diff without context: "-" marks lines only in `before`, "+" lines only
/// in `after`.
std::string LineDiff(const std::string& before, const std::string& after);

}  // namespace geranium

#endif  // GERANIUM_OPERATOR_LINE_DIFF_H_
