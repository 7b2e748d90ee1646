#include "misbehaving_clients/client_crowd.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cometstand::platform {

namespace asio = boost::asio;

namespace {

/// Bounds the connects of a crowd whose connections are refused.
constexpr Duration kReconnectPause = std::chrono::milliseconds(20);

}  // namespace

ClientCrowd::ClientCrowd(const std::vector<ClientKind>& kinds, const std::vector<ServedAddress>& addresses) {
  for (const auto& address : addresses) {
    for (const auto& kind : kinds) {
      for (std::size_t client = 0; client < kind.connections; ++client)
        asio::co_spawn(io_, playAgain(kind.play, address), asio::detached);
    }
  }
  thread_ = std::thread([this] { io_.run(); });
}

ClientCrowd::~ClientCrowd() {
  io_.stop();
  thread_.join();
}

asio::awaitable<void> ClientCrowd::playAgain(Play play, ServedAddress address) {
  asio::steady_timer timer(io_);
  while (true) {
    asio::ip::tcp::socket socket(io_);
    boost::system::error_code error;
    co_await socket.async_connect(address.endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      ++connected_;
      co_await play(socket, address);
    }
    socket.close(error);
    timer.expires_after(kReconnectPause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace cometstand::platform
