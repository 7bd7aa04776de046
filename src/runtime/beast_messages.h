#ifndef GERANIUM_RUNTIME_BEAST_MESSAGES_H_
#define GERANIUM_RUNTIME_BEAST_MESSAGES_H_

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "runtime/http.h"

namespace geranium {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

HttpRequest ToRequest(BeastRequest message);
/// A message that is ready to be written; `version` is that of the request.
BeastResponse ToBeastMessage(HttpResponse response, unsigned version,
                             bool keep_open);
/// The response to input that is not a valid request.
HttpResponse ParseErrorResponse(const boost::beast::error_code& error);

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_BEAST_MESSAGES_H_
