#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "proxy/data_path.h"
#include "proxy/http_message.h"

namespace cometstand::proxy {

using RequestFromCaller = boost::beast::http::request<boost::beast::http::string_body>;
using ResponseToCaller = boost::beast::http::response<boost::beast::http::string_body>;
/// Refers to the caller's body without a copy.
using RequestToBackend = boost::beast::http::request<boost::beast::http::span_body<const char>>;

/// @throw Error(Malformed) if a header that the proxy acts on cannot be read.
CallerRequestPointer toCallerRequest(RequestFromCaller&& request);

/// @param now for the time left. The order must outlive the result.
RequestToBackend toBackendRequest(const SendOrder& order, TimePoint now);

/// @return status and header fields, without hop-by-hop fields and without a body.
std::shared_ptr<BackendResponse> toBackendResponse(
    const boost::beast::http::response_header<boost::beast::http::fields>& header, bool keep_content_length);

/// What the answer must fit.
struct AnswerContext {
  unsigned http_version = 11;
  bool keep_alive = false;
  /// The request was HEAD: no body follows.
  bool head = false;
};

/// @return the whole answer: the back end's, or a JSON body that tells outcome, kind, message and remedy.
ResponseToCaller toCallerResponse(const FinalAnswer& answer, const AnswerContext& context);

/// Sets the outcome header and, if asked for, when to come back.
void setOutcome(boost::beast::http::fields& fields, wire::Outcome outcome, Duration retry_after);

/// Copies the back end's header fields.
void copyFields(boost::beast::http::fields& to, const HeaderFields& from);

}  // namespace cometstand::proxy
