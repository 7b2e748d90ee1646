#pragma once

#include <cstddef>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::proxy {

/// Limits of the HTTP side towards callers and back ends. Settings under `proxy.*` have the same names.
struct HttpOptions {
  /// Where callers connect; port 0 lets the system pick one.
  runtime::Address listen;
  /// Callers' connections at once; one more is answered with a refusal and closed.
  std::size_t max_connections = 8192;
  std::size_t max_request_header_bytes = 32U * 1024U;
  std::size_t max_request_body_bytes = 8U * 1024U * 1024U;
  std::size_t max_response_header_bytes = 64U * 1024U;
  /// Answers up to this size are buffered whole before a byte goes to the caller; larger ones are passed on
  /// as they come.
  std::size_t max_buffered_response_bytes = 256U * 1024U;
  /// How long a caller's connection may rest between requests.
  Duration caller_idle_limit = std::chrono::seconds(60);
  /// From the first byte of a request to the end of its header.
  Duration header_limit = std::chrono::seconds(10);
  /// From the end of the header to the end of the body.
  Duration body_limit = std::chrono::seconds(30);
  /// Longest pause of a caller in taking, or of a back end in giving, a part of a streamed answer.
  Duration stream_idle_limit = std::chrono::seconds(30);
  Duration connect_limit = std::chrono::seconds(1);
  /// An idle connection to a back end is closed after this; keep it below the back end's own limit.
  Duration backend_idle_limit = std::chrono::seconds(4);
  /// A request that may not be repeated takes only connections that were idle for less, since a back end may
  /// close an older one at the moment it is sent.
  Duration unrepeatable_idle_limit = std::chrono::milliseconds(500);
};

}  // namespace cometstand::proxy
