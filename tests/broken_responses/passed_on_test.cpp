// Bytes of targets that sidecars took for whole final responses, by the platform's programs as real
// processes.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "broken_responses/response_forms.h"

namespace cometstand::platform {
namespace {

using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptEnd;
using rehearsal::SendBytes;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
const std::string kPartOfBody(50, 'p');

/// @return a script that answers an upload at once with a part of a body without a length, and resets the
/// connection after the pause, while the upload is still on its way.
ScriptMaker resetBesideUpload(const std::string& status_line, Duration pause) {
  return [status_line, pause](const std::string& id) {
    return ResponseScript{{SendBytes{openResponseHead(status_line, id) + "\r\n" + kPartOfBody}, Pause{pause}},
                          ScriptEnd::Reset};
  };
}

}  // namespace

// Guards against callers who get a status that is none (RFC 9110, section 15).
TEST_CASE("a response whose status is outside 100 to 599 does not reach the caller",
          "[passed_on][status][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    const std::string line = std::string("HTTP/1.1 ") + status + " Trouble";
    mesh.checkRejected({line + ", with a length", respondWith(line, kServedRest)});
    mesh.checkRejected({line + ", without a body", respondWith(line, "Content-Length: 0\r\n\r\n")});
    mesh.checkRejected(
        {line + ", with a length and closed", respondWith(line, kServedRest, ScriptEnd::HalfClose)});
    mesh.checkRejected({line + ", without a length", respondWith(line, "\r\nserved", ScriptEnd::HalfClose)});
  }
}

// Guards against callers who get an interim response in place of the final one (RFC 9110, section 15.2).
TEST_CASE("an interim response does not pass for the final one", "[passed_on][interim][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  for (const char* line : {"HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 199 Own"}) {
    mesh.checkRejected({std::string(line) + ", kept", respondWith(line, "\r\n")});
    mesh.checkRejected({std::string(line) + ", closed", respondWith(line, "\r\n", ScriptEnd::HalfClose)});
  }
  const std::string interim = "Request-Id: {id}\r\nServer-Seal: interim\r\n\r\n";
  const std::string final =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: final\r\nContent-Length: 6\r\n\r\nserved";
  mesh.checkServed({"100 and then 200", respondRaw("HTTP/1.1 100 Continue\r\n" + interim + final)}, kOk,
                   kServedBody);
  mesh.checkServed({"103 and then 200", respondRaw("HTTP/1.1 103 Early Hints\r\n" + interim + final)}, kOk,
                   kServedBody);
  mesh.checkRejected(
      {"101 and then 200", respondRaw("HTTP/1.1 101 Switching Protocols\r\n" + interim + final)});
}

// Guards against callers who get a part of a body as the whole (RFC 9112, section 8).
TEST_CASE("a response that a reset cuts while the request is written does not look whole",
          "[passed_on][reset][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 500 Trouble",
                           "HTTP/1.1 503 Full\r\nNot-Executed: full"}) {
    for (const Duration pause : {milliseconds(0), milliseconds(300)}) {
      mesh.checkRejected({std::string(line) + ", reset", resetBesideUpload(line, pause), largeUpload()});
    }
  }
}

// Guards against callers who get coded bytes as the body (RFC 9112, section 6.1).
TEST_CASE("a response in a transfer coding that is not known does not reach the caller",
          "[passed_on][coding][processes]") {
  setLogLevel(LogLevel::Warning);
  FaultyMesh mesh;
  for (const char* coding : {"gzip", "chunked, gzip", "gzip, chunked", "identity, x", "xchunked", "identity",
                             "chunked, chunked"}) {
    const std::string rest = std::string("Transfer-Encoding: ") + coding + "\r\n\r\n6\r\nserved\r\n0\r\n\r\n";
    mesh.checkRejected({coding, respondWith("HTTP/1.1 200 OK", rest, ScriptEnd::HalfClose)});
  }
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n";
  mesh.checkRejected({"chunked in HTTP/1.0", respondWith("HTTP/1.0 200 OK", chunked, ScriptEnd::HalfClose)});
  mesh.checkServed({"chunked", respondWith("HTTP/1.1 200 OK", chunked)}, kOk, kServedBody);
}

}  // namespace cometstand::platform
