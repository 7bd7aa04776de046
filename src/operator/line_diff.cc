#include "operator/line_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace geranium {
namespace {

using Lines = std::vector<std::string>;
using Lengths = std::vector<std::vector<std::size_t>>;

Lines Split(const std::string& text) {
  Lines lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) lines.push_back(line);
  return lines;
}

// Length of the longest common subsequence for each pair of suffixes.
Lengths CommonLengths(const Lines& before, const Lines& after) {
  Lengths lengths(before.size() + 1,
                  std::vector<std::size_t>(after.size() + 1, 0));
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      lengths[i][j] = before[i] == after[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::string LineDiff(const std::string& before_text,
                     const std::string& after_text) {
  const Lines before = Split(before_text);
  const Lines after = Split(after_text);
  const Lengths lengths = CommonLengths(before, after);
  std::string diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    const bool both = i < before.size() && j < after.size();
    if (both && before[i] == after[j]) {
      ++i;
      ++j;
    } else if (j == after.size() ||
               (i < before.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
      diff += "-" + before[i++] + "\n";
    } else {
      diff += "+" + after[j++] + "\n";
    }
  }
  return diff;
}

}  // namespace geranium
