#ifndef GERANIUM_BASE_ERROR_H_
#define GERANIUM_BASE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace geranium {

/// What a failure says about the work that was asked for.
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

/// A failure: what, at which step, at which peer, and what became of the work.
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

/// The HTTP status that stands for `code` in answers to callers.
int HttpStatus(ErrorCode code);

}  // namespace geranium

#endif  // GERANIUM_BASE_ERROR_H_
