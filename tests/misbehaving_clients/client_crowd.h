#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>
#include <vector>

#include "misbehaving_clients/client_kinds.h"

namespace cometstand::platform {

/// Misbehaving clients that play, on a thread of their own, until the object goes. A connection that has
/// ended is followed by another after a short pause.
class ClientCrowd {
 public:
  /// All kinds play at all addresses.
  ClientCrowd(const std::vector<ClientKind>& kinds, const std::vector<ServedAddress>& addresses);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// @return the number of connections that were opened.
  std::size_t connected() const { return connected_; }

 private:
  boost::asio::awaitable<void> playAgain(Play play, ServedAddress address);

  boost::asio::io_context io_;
  std::atomic<std::size_t> connected_ = 0;
  std::thread thread_;
};

}  // namespace cometstand::platform
