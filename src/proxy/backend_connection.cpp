#include "proxy/backend_connection.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <utility>

namespace cometstand::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

BackendConnection::BackendConnection(const asio::any_io_executor& executor, runtime::Address address,
                                     std::shared_ptr<ConnectionCounts> counts)
    : stream_(executor), address_(std::move(address)), counts_(std::move(counts)) {
  ++(*counts_)[address_];
}

BackendConnection::~BackendConnection() {
  const auto count = counts_->find(address_);
  if (--count->second == 0) counts_->erase(count);
}

asio::awaitable<bool> BackendConnection::connect(Duration limit) {
  boost::system::error_code error;
  const auto host = asio::ip::make_address(address_.host, error);
  if (error) co_return false;
  stream_.expires_after(limit);
  const tcp::endpoint endpoint(host, address_.port);
  std::tie(error) = co_await stream_.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
  if (error) co_return false;
  stream_.socket().set_option(tcp::no_delay(true), error);
  stream_.expires_never();
  co_return true;
}

bool BackendConnection::isQuiet() {
  char byte = 0;
  const auto received = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void BackendConnection::close() {
  stream_.expires_never();
  stream_.close();
}

}  // namespace cometstand::proxy
