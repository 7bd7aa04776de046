// Plays one case of the review on a small deployment of real processes:
//   site CASE FOLDER
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.

#include <cstdlib>
#include <cstring>
#include <iostream>

#include "site_cases.h"

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: site CASE FOLDER\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool is_disrupted =
      trouble == nullptr || std::strcmp(trouble, "0") != 0;
  try {
    return review::Play(argv[1], argv[2], is_disrupted);
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return 2;
  }
}
