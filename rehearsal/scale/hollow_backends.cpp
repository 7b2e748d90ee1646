#include "rehearsal/scale/hollow_backends.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <utility>

namespace cometstand::rehearsal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

HollowBackends::HollowBackends(asio::io_context& io, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    auto backend = std::make_unique<Backend>(io);
    const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
    backend->acceptor.open(any_port.protocol());
    backend->acceptor.bind(any_port);
    backend->acceptor.listen();
    asio::co_spawn(io, acceptLoop(*backend), asio::detached);
    backends_.push_back(std::move(backend));
  }
}

std::vector<std::uint16_t> HollowBackends::ports() const {
  std::vector<std::uint16_t> ports;
  ports.reserve(backends_.size());
  for (const auto& backend : backends_) ports.push_back(backend->acceptor.local_endpoint().port());
  return ports;
}

void HollowBackends::restart(std::size_t index) {
  auto& backend = *backends_.at(index);
  ++backend.incarnation;
  backend.cold = true;
}

asio::awaitable<void> HollowBackends::acceptLoop(Backend& backend) {
  for (;;) {
    auto [error, socket] = co_await backend.acceptor.async_accept(kAwaitTuple);
    if (error) co_return;
    asio::co_spawn(backend.acceptor.get_executor(), serve(backend, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HollowBackends::serve(Backend& backend, tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  const auto [read_error, read_bytes] = co_await http::async_read(stream, buffer, request, kAwaitTuple);
  if (read_error) co_return;
  http::response<http::string_body> response(http::status::ok, request.version());
  response.body() = boost::json::serialize(boost::json::object{
      {"state", std::exchange(backend.cold, false) ? "cold" : "live"}, {"incarnation", backend.incarnation}});
  response.keep_alive(false);
  response.prepare_payload();
  ++probes_answered_;
  co_await http::async_write(stream, response, kAwaitTuple);
}

}  // namespace cometstand::rehearsal
