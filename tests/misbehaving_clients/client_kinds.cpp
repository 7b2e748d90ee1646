#include "misbehaving_clients/client_kinds.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "base/error.h"
#include "platform/names.h"

namespace cometstand::platform {

namespace asio = boost::asio;
using asio::awaitable;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;
/// Fields of four bytes that fit, with the usual ones, in a head of 16 KiB.
constexpr std::size_t kShortFields = 2'600;
constexpr const char* kShortField = "a:\r\n";
/// Longer than any play, so that a client which waits does so until it is stopped.
constexpr Duration kLongWait = std::chrono::minutes(5);

/// One block from which all bodies are sent.
const std::string& filler() {
  static const std::string bytes(kMebibyte, 'x');
  return bytes;
}

std::string repeated(const std::string& text, std::size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (std::size_t number = 0; number < count; ++number) all += text;
  return all;
}

std::string nextId() {
  static std::atomic<std::uint64_t> number = 0;
  return fmt::format("misbehaving-{}", ++number);
}

/// @return a head without its end.
std::string openHead(const ServedAddress& address, const std::string& method, const std::string& path) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: 8000\r\n{}", method, path, address.host,
                     std::string_view(kRequestId), nextId(), std::string_view(kDeadline), address.fields);
}

std::string wholeHead(const ServedAddress& address, std::size_t fields = 0) {
  return openHead(address, "GET", address.path) + repeated(kShortField, fields) + "\r\n";
}

awaitable<bool> send(Socket& socket, std::string_view bytes) {
  error_code error;
  co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

awaitable<void> pauseFor(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// Waits for the first bytes of an answer, or the connection's end.
/// @return the status of the answer; 0 if there is none.
awaitable<unsigned> readStatus(Socket& socket) {
  constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t kStatusDigits = 3;
  std::vector<char> bytes(4 * kKibibyte);
  error_code error;
  const auto length =
      co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  if (length < kStatusAt + kStatusDigits) co_return 0;
  unsigned status = 0;
  std::from_chars(bytes.data() + kStatusAt, bytes.data() + kStatusAt + kStatusDigits, status);
  co_return status;
}

std::string chunkOf(std::string_view bytes, const std::string& extension) {
  return fmt::format("{:x}{}\r\n{}\r\n", bytes.size(), extension, bytes);
}

/// @return chunks that fill one write.
std::string chunksOf(std::size_t bytes, const BodyPlan& plan) {
  std::string text;
  while (bytes > 0) {
    const std::size_t length = std::min(bytes, plan.chunk_bytes);
    text += chunkOf(std::string_view(filler()).substr(0, length), plan.extension);
    bytes -= length;
  }
  return text;
}

awaitable<bool> sendBodyBytes(Socket& socket, const BodyPlan& plan, std::size_t bytes) {
  const std::size_t whole = std::max(plan.write_bytes, plan.chunk_bytes);
  const std::string chunks = plan.chunk_bytes > 0 ? chunksOf(whole, plan) : std::string();
  while (bytes > 0) {
    const std::size_t length = std::min(bytes, whole);
    const bool is_whole = length == whole;
    bool is_sent = false;
    if (plan.chunk_bytes == 0) {
      is_sent = co_await send(socket, std::string_view(filler()).substr(0, length));
    } else if (is_whole) {
      is_sent = co_await send(socket, chunks);
    } else {
      const std::string rest = chunksOf(length, plan);
      is_sent = co_await send(socket, rest);
    }
    if (!is_sent) co_return false;
    bytes -= length;
  }
  co_return true;
}

awaitable<bool> sendSlowly(Socket& socket, std::string_view bytes, Duration pause) {
  for (std::size_t sent = 0; sent < bytes.size(); ++sent) {
    co_await pauseFor(pause);
    if (!co_await send(socket, bytes.substr(sent, 1))) co_return false;
  }
  co_return true;
}

Play bodies(const BodyPlan& plan) {
  return [plan](Socket& socket, const ServedAddress& address) -> awaitable<void> {
    co_await sendBody(socket, address, plan);
  };
}

/// Sends requests one after the other without reading an answer.
Play sendAhead(const std::string& method, const std::string& path, std::size_t fields, std::size_t body) {
  return [=](Socket& socket, const ServedAddress& address) -> awaitable<void> {
    std::string requests;
    constexpr std::size_t kAtOnce = 16;
    for (std::size_t number = 0; number < kAtOnce; ++number) {
      requests +=
          openHead(address, method, path.empty() ? address.path : path) + repeated(kShortField, fields);
      if (body > 0) requests += fmt::format("Content-Length: {}\r\n", body);
      requests += "\r\n" + filler().substr(0, body);
    }
    while (co_await send(socket, requests)) {
    }
  };
}

Play slowHead(Duration pause) {
  return [pause](Socket& socket, const ServedAddress& address) -> awaitable<void> {
    const std::string head = wholeHead(address, kShortFields);
    co_await sendSlowly(socket, head, pause);
  };
}

/// Sends a head with many fields and no end, and waits.
awaitable<void> openHeadOnly(Socket& socket, const ServedAddress& address) {
  const std::string head = openHead(address, "GET", address.path) + repeated(kShortField, kShortFields);
  const bool is_sent = co_await send(socket, head);
  if (is_sent) co_await readStatus(socket);
}

/// Sends requests with many fields one after the other, and reads the beginnings of their answers.
awaitable<void> manyFields(Socket& socket, const ServedAddress& address) {
  std::string head = wholeHead(address, kShortFields);
  while (co_await send(socket, head)) {
    co_await readStatus(socket);
    head = wholeHead(address, kShortFields);
  }
}

/// Begins a chunk whose size is followed by more and more text.
awaitable<void> endlessExtension(Socket& socket, const ServedAddress& address) {
  const std::string head =
      openHead(address, address.body_method, address.path) + "Transfer-Encoding: chunked\r\n\r\n1;";
  if (!co_await send(socket, head)) co_return;
  while (co_await send(socket, filler())) {
  }
}

awaitable<void> silent(Socket& socket, const ServedAddress& /*address*/) { co_await readStatus(socket); }

awaitable<void> halfClosed(Socket& socket, const ServedAddress& address) {
  const std::string head = openHead(address, "GET", address.path);
  if (!co_await send(socket, head)) co_return;
  error_code ignored;
  socket.shutdown(Socket::shutdown_send, ignored);
  co_await readStatus(socket);
}

/// Asks for a large answer and reads so many bytes of it at a time, each after the pause.
Play slowReader(std::size_t answer_bytes, std::size_t read_bytes, Duration pause) {
  return [=](Socket& socket, const ServedAddress& address) -> awaitable<void> {
    const std::string head = openHead(address, "GET", fmt::format("/large/{}", answer_bytes)) + "\r\n";
    if (!co_await send(socket, head)) co_return;
    std::vector<char> bytes(read_bytes);
    error_code error;
    while (!error) {
      co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      if (!error) co_await pauseFor(pause);
    }
  };
}

/// Sends the first bytes of the frame format of the links between nodes, and then a long frame's bytes.
Play longFrame(std::size_t length, std::size_t bytes) {
  return [=](Socket& socket, const ServedAddress& /*address*/) -> awaitable<void> {
    std::string header(8, '\0');
    for (std::size_t byte = 0; byte < 4; ++byte) header[byte] = static_cast<char>(length >> (8 * byte));
    if (!co_await send(socket, header)) co_return;
    const BodyPlan frame{.bytes = bytes};
    if (co_await sendBodyBytes(socket, frame, bytes)) co_await readStatus(socket);
  };
}

std::vector<ClientKind> makeKinds() {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr std::size_t kLarge = 60 * kMebibyte;
  constexpr std::size_t kEndless = 1024 * kMebibyte;
  constexpr std::size_t kHuge = 8ULL * 1024 * kMebibyte;
  std::vector<ClientKind> kinds;
  const auto add = [&kinds](const char* name, std::size_t connections, Play play) {
    kinds.push_back({name, connections, std::move(play)});
  };
  // Bodies within the limits, many at once.
  add("12 bodies of 60 MiB", 12, bodies({.bytes = kLarge}));
  add("100 bodies of 6 MiB", 100, bodies({.bytes = 6 * kMebibyte}));
  add("1000 bodies of 300 KB", 1'000, bodies({.bytes = 300'000}));
  add("24 bodies of 20 MiB, 1000 bytes a write", 24, bodies({.bytes = 20 * kMebibyte, .write_bytes = 1'000}));
  add("16 bodies of 8 MiB in chunks of 1 byte", 16,
      bodies({.bytes = 8 * kMebibyte, .write_bytes = 16 * kKibibyte, .chunk_bytes = 1}));
  add("12 bodies of 60 MiB in chunks of 8 KiB", 12, bodies({.bytes = kLarge, .chunk_bytes = 8 * kKibibyte}));
  add("12 bodies of 60 MiB in chunks of 1 MiB", 12, bodies({.bytes = kLarge, .chunk_bytes = kMebibyte}));
  add("24 bodies of 20 MiB with chunk extensions", 24,
      bodies({.bytes = 20 * kMebibyte,
              .chunk_bytes = kKibibyte,
              .extension = ";" + std::string(kKibibyte, 'e')}));
  add("60 bodies with 2600 trailers", 60,
      bodies({.bytes = kMebibyte, .chunk_bytes = 64 * kKibibyte, .trailers = kShortFields}));
  // Bodies over the limits.
  add("8 bodies announced as 8 GiB", 8, bodies({.bytes = kEndless, .announced_bytes = kHuge}));
  add("8 bodies in chunks without an end", 8, bodies({.bytes = kEndless, .chunk_bytes = 64 * kKibibyte}));
  add("8 chunk extensions without an end", 8, endlessExtension);
  // Many short fields.
  add("60 senders of 2600 short fields", 60, manyFields);
  add("60 bodies behind 2500 short fields", 60, bodies({.bytes = 300'000, .fields = kShortFields - 100}));
  add("800 heads of 2600 short fields without an end", 800, openHeadOnly);
  // Requests sent ahead, whose answers are not read.
  add("8 that send GET ahead", 8, sendAhead("GET", "", 0, 0));
  add("24 that send GET with 2500 fields ahead", 24, sendAhead("GET", "", kShortFields - 100, 0));
  add("24 that send POST with 100 KB ahead", 24, sendAhead("POST", "", 0, 100'000));
  add("24 that ask for 1 MiB ahead", 24, sendAhead("GET", "/large/1048576", 0, 0));
  // Slow ones, and ones that stop.
  add("30 that stop half-way in 60 MiB", 30, bodies({.bytes = kLarge, .stops_after = kLarge / 2}));
  add("120 bodies of 4 MiB whose end comes slowly", 120,
      bodies({.bytes = 4 * kMebibyte, .slow_bytes = 1'000, .slow_pause = milliseconds(500)}));
  add("1500 heads, a byte a second", 1'500, slowHead(seconds(1)));
  add("1500 bodies, a byte a second", 1'500,
      bodies({.bytes = kKibibyte, .slow_bytes = kKibibyte, .slow_pause = seconds(1)}));
  add("1500 silent connections", 1'500, silent);
  add("1500 half-closed connections", 1'500, halfClosed);
  add("120 that read 8 MiB slowly", 120, slowReader(8 * kMebibyte, 128, milliseconds(250)));
  add("120 that stop reading 8 MiB", 120, slowReader(8 * kMebibyte, 128, kLongWait));
  add("800 that stop reading 200 KB", 800, slowReader(200'000, 128, kLongWait));
  add("8 frames of 60 MiB without an end", 8, longFrame(kLarge, kLarge - kMebibyte));
  add("800 frames of 1 MiB without an end", 800, longFrame(kMebibyte, kMebibyte / 2));
  return kinds;
}

}  // namespace

awaitable<unsigned> sendBody(Socket& socket, const ServedAddress& address, const BodyPlan& plan) {
  std::string head =
      openHead(address, address.body_method, address.path) + repeated(kShortField, plan.fields);
  const std::size_t announced = plan.announced_bytes > 0 ? plan.announced_bytes : plan.bytes;
  head += plan.chunk_bytes > 0 ? "Transfer-Encoding: chunked\r\n\r\n"
                               : fmt::format("Content-Length: {}\r\n\r\n", announced);
  if (!co_await send(socket, head)) co_return 0;
  const std::size_t at_once = plan.stops_after > 0 ? plan.stops_after : plan.bytes - plan.slow_bytes;
  if (!co_await sendBodyBytes(socket, plan, at_once)) co_return 0;
  const std::string slow = filler().substr(0, plan.slow_bytes);
  const bool is_sent = co_await sendSlowly(socket, slow, plan.slow_pause);
  if (!is_sent) co_return 0;
  if (plan.chunk_bytes > 0 && plan.stops_after == 0) {
    const std::string end = "0\r\n" + repeated(kShortField, plan.trailers) + "\r\n";
    if (!co_await send(socket, end)) co_return 0;
  }
  co_return co_await readStatus(socket);
}

const std::vector<ClientKind>& allClientKinds() {
  static const std::vector<ClientKind> kinds = makeKinds();
  return kinds;
}

const ClientKind& clientKind(const std::string& name) {
  for (const auto& kind : allClientKinds()) {
    if (kind.name == name) return kind;
  }
  throw Error(ErrorKind::Invalid, "no kind of client is called " + name, "use a name of allClientKinds()");
}

}  // namespace cometstand::platform
