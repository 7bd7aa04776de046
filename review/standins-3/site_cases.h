#ifndef GERANIUM_REVIEW_STANDINS_3_SITE_CASES_H_
#define GERANIUM_REVIEW_STANDINS_3_SITE_CASES_H_

#include <string>

namespace review {

/// Plays a case; returns the exit status of its script.
int Play(const std::string& name, const std::string& folder, bool is_disrupted);

}  // namespace review

#endif  // GERANIUM_REVIEW_STANDINS_3_SITE_CASES_H_
