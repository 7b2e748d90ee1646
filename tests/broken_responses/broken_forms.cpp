#include "broken_responses/broken_forms.h"

#include <utility>

namespace cometstand::platform {

using rehearsal::Pause;
using rehearsal::ReadBody;
using rehearsal::ResponseScript;
using rehearsal::ScriptEnd;
using rehearsal::ScriptStep;
using rehearsal::SendBytes;
using rehearsal::SendRepeatedly;

namespace {

/// What a target sends of a response without an end if nobody stops it.
constexpr std::size_t kEndlessBytes = 512UL * 1024 * 1024;
/// How long a part of a response is on its way before its connection ends.
constexpr Duration kPartTime = std::chrono::milliseconds(30);
const std::string kOkLine = "HTTP/1.1 200 OK";
const std::string kWholeRest = std::string("Content-Length: 6\r\n\r\n") + kBrokenBody;
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

BrokenForm formOf(const std::string& name, const std::string& status_line, const std::string& rest,
                  ScriptEnd end = ScriptEnd::HalfClose) {
  return {name, [status_line, rest, end](const std::string& id) {
            return ResponseScript{{ReadBody{}, SendBytes{openResponseHead(status_line, id) + rest}}, end};
          }};
}

BrokenForm endlessForm(const std::string& name, const std::string& rest, const std::string& part) {
  return {name, [rest, part](const std::string& id) {
            return ResponseScript{{ReadBody{}, SendBytes{openResponseHead(kOkLine, id) + rest},
                                   SendRepeatedly{part, kEndlessBytes}},
                                  ScriptEnd::Close};
          }};
}

BrokenForm rawForm(const std::string& name, const std::string& bytes, ScriptEnd end) {
  return {name, [bytes, end](const std::string&) {
            return ResponseScript{{ReadBody{}, SendBytes{bytes}}, end};
          }};
}

/// The target answers before it has read the request, and resets the connection.
BrokenForm earlyForm(const std::string& name, const std::string& rest) {
  return {name, [rest](const std::string& id) {
            return ResponseScript{{SendBytes{openResponseHead(kOkLine, id) + rest}, Pause{kPartTime}},
                                  ScriptEnd::Reset};
          }};
}

std::vector<BrokenForm> makeForms() {
  const std::string block(4'096, 'x');
  return {
      formOf("status 000", "HTTP/1.1 000 Trouble", kWholeRest, ScriptEnd::Keep),
      formOf("status 999", "HTTP/1.1 999 Trouble", kWholeRest),
      formOf("100 alone", "HTTP/1.1 100 Continue", "\r\n"),
      formOf("101", "HTTP/1.1 101 Switching Protocols", "\r\n", ScriptEnd::Keep),
      formOf("an unknown coding", kOkLine, std::string("Transfer-Encoding: gzip\r\n\r\n") + kBrokenBody),
      formOf("a blank in a name", kOkLine, "Na me: x\r\n" + kWholeRest),
      formOf("a control byte in a name", kOkLine, "Na\x01me: x\r\n" + kWholeRest, ScriptEnd::Keep),
      formOf("two lengths", kOkLine, "Content-Length: 5\r\n" + kWholeRest),
      formOf("a cut head", kOkLine, "Content-Len"),
      formOf("a cut body", kOkLine, std::string("Content-Length: 9\r\n\r\n") + kBrokenBody),
      formOf("a cut body, reset", kOkLine, std::string("\r\n") + kBrokenBody, ScriptEnd::Reset),
      formOf("a broken chunk", kOkLine, kChunked + "x\r\n" + kBrokenBody),
      formOf("a cut chunk", kOkLine, kChunked + "9\r\n" + kBrokenBody, ScriptEnd::Reset),
      formOf("silence behind a head", kOkLine, "Content-Length: 6\r\n\r\n", ScriptEnd::Hang),
      earlyForm("early, without a length", std::string("\r\n") + kBrokenBody),
      earlyForm("early, cut", std::string("Content-Length: 9\r\n\r\n") + kBrokenBody),
      rawForm("no response", "nonsense\r\n\r\n", ScriptEnd::HalfClose),
      rawForm("another request's response", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + kWholeRest,
              ScriptEnd::HalfClose),
      rawForm("nothing", "", ScriptEnd::Reset),
      endlessForm("a chunk extension without an end", kChunked + "6;", "extension"),
      endlessForm("a trailer section without an end", kChunked + "0\r\n", "Name: value\r\n"),
      endlessForm("a head without an end", "", "Name: value\r\n"),
      endlessForm("a body without an end", "\r\n", block),
      endlessForm("a body in chunks without an end", kChunked, "6\r\n" + std::string(kBrokenBody) + "\r\n"),
  };
}

}  // namespace

const std::vector<BrokenForm>& allBrokenForms() {
  static const std::vector<BrokenForm> forms = makeForms();
  return forms;
}

}  // namespace cometstand::platform
