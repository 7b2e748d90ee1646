#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
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
  writeNext();
}

void ServerConnection::proceed(ExchangeId id, const std::string& bytes, PartEnd end) {
  auto* item = find(id);
  if (item == nullptr || !item->in_parts || item->end != PartEnd::More) return;
  item->part += bytes;
  item->end = end;
  if (end != PartEnd::More) server_.exchanges_.erase(id);
  writeNext();
}

std::string ServerConnection::headOf(const Pending& item) {
  Response head = *item.response;
  head.version(kHttp11);
  head.keep_alive(!item.is_last);
  head.chunked(true);
  std::ostringstream text;
  text << head.base();
  return text.str();
}

/// Writes what has come of the front one's answer.
void ServerConnection::writePart() {
  auto& item = pending_.front();
  if (item.end == PartEnd::Broken) {
    // Posted, as this may be within a call of the handler, which hears of the requests that wait behind.
    asio::post(server_.io_, [self = shared_from_this()] { self->close(); });
    return;
  }
  const auto bytes = std::make_shared<std::string>();
  if (!std::exchange(item.head_written, true)) {
    prepareLast(item);
    *bytes += headOf(item);
  }
  const std::string part = std::exchange(item.part, {});
  if (!part.empty()) *bytes += chunkOf(part);
  if (item.end == PartEnd::Last) *bytes += kLastChunk;
  if (bytes->empty()) return;
  writing_ = true;
  asio::async_write(socket_, asio::buffer(*bytes),
                    [self = shared_from_this(), bytes, id = *item.id, length = part.size(), end = item.end](
                        error_code error, std::size_t) { self->onPartWritten(error, id, length, end); });
}

void ServerConnection::onPartWritten(error_code error, ExchangeId id, std::size_t body_bytes, PartEnd end) {
  if (error || end == PartEnd::Last) {
    onWritten(error);
    return;
  }
  writing_ = false;
  if (state_ != State::Open) return;
  if (body_bytes > 0) server_.handler_.onBodyWritten(id, body_bytes);
  writeNext();
}

}  // namespace cometstand::web
