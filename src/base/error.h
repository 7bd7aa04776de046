#ifndef GERANIUM_BASE_ERROR_H_
#define GERANIUM_BASE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace geranium {

/// Whether the requested work was run, as far as a failure can tell.
enum class Execution {
  kNotRun,      ///< No backend server has started it or will.
  kMayHaveRun,  ///< A backend server may have started it.
  kRanFailed,   ///< A backend server ran it and reported a failure.
};

enum class ErrorCode {
  kMalformed,
  kUnknownService,
  kUnknownJob,
  kKeyConflict,
  kKeyInDoubt,
  kTooLarge,
  kFitsNoWorker,
  kOverQuota,
  kOverloaded,
  kUnavailable,
  kLogOutage,
  kDeadline,
  kCancelled,
  kInDoubt,
  kBackendFailed,
  kConflict,
  kInvalidText,
  kInvalidSetting,
  kConnection,
};

/// A failure, the step and peer where it occurred, and whether the work ran.
struct Error {
  ErrorCode code = ErrorCode::kMalformed;
  std::string step;
  std::string peer;
  std::string message;
  Execution execution = Execution::kNotRun;

  template <class A>
  void Fields(A& a) {
    a(code)(step)(peer)(message)(execution);
  }
};

template <class T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

/// The names used in answers, for example `not_run` and `overloaded`.
std::string_view Name(Execution execution);
std::string_view Name(ErrorCode code);

/// The HTTP status of answers to callers that report `code`.
int HttpStatus(ErrorCode code);

}  // namespace geranium

#endif  // GERANIUM_BASE_ERROR_H_
