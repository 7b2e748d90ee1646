#include <boost/asio/post.hpp>
#include <sstream>
#include <utility>

#include "web/server_connection.h"

/// Answers whose bodies come in parts, sent in chunks (RFC 9112, section 7.1).
namespace cometstand::web {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string chunkOf(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

}  // namespace

void ServerConnection::begin(ExchangeId id, Response response) {
  auto* item = find(id);
  if (item == nullptr || item->response) return;
  item->in_parts = true;
  item->part = std::exchange(response.body(), {});
  item->response = std::move(response);
  chargePart(*item);
  writeNext();
}

void ServerConnection::proceed(ExchangeId id, const std::string& bytes, PartEnd end) {
  auto* item = find(id);
  if (item == nullptr || !item->in_parts || item->end != PartEnd::More) return;
  item->part += bytes;
  chargePart(*item);
  item->end = end;
  if (end != PartEnd::More) server_.exchanges_.erase(id);
  writeNext();
}

/// The request is held until its answer is whole.
void ServerConnection::chargePart(Pending& item) {
  item.charge.resize(item.request_bytes + item.part.size());
}

std::string ServerConnection::headOf(const Pending& item) {
  Response head = *item.response;
  head.version(kHttp11);
  head.keep_alive(!item.is_last);
  head.chunked(true);
  return textOf(head);
}

/// Writes what has come of the front one's answer.
void ServerConnection::writePart() {
  auto& item = pending_.front();
  if (item.end == PartEnd::Broken) {
    // Posted, as this may be within a call of the handler, which hears of the requests that wait behind.
    asio::post(server_.io_, [self = shared_from_this()] { self->close(); });
    return;
  }
  const auto outgoing = std::make_shared<Outgoing>();
  if (!std::exchange(item.head_written, true)) {
    prepareLast(item);
    outgoing->head = headOf(item);
  }
  const std::string part = std::exchange(item.part, {});
  if (!part.empty()) outgoing->body = chunkOf(part);
  if (item.end == PartEnd::Last) outgoing->end = kLastChunk;
  if (outgoing->head.empty() && part.empty() && outgoing->end.empty()) return;
  write(outgoing, [this, id = *item.id, length = part.size(), end = item.end](error_code error) {
    onPartWritten(error, id, length, end);
  });
}

void ServerConnection::onPartWritten(error_code error, ExchangeId id, std::size_t body_bytes, PartEnd end) {
  if (error || end == PartEnd::Last) {
    onWritten(error);
    return;
  }
  writing_ = false;
  if (state_ != State::Open) return;
  chargePart(pending_.front());
  if (body_bytes > 0) server_.handler_.onBodyWritten(id, body_bytes);
  writeNext();
}

}  // namespace cometstand::web
