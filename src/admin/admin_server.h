#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>

#include "admin/admin_pages.h"
#include "runtime/process_core.h"

namespace cometstand::admin {

/// Connections served at once; more are closed when they arrive.
inline constexpr std::size_t kMaxAdminConnections = 32;

/// Serves `GET /metrics`, `/live` and `/ready` over plain HTTP/1.1: 200 if all is well, 503 with the reason
/// as text if not. Runs on the io_context's one thread, so an answer also shows that this thread makes
/// progress. Must live until the io_context has stopped running.
class AdminServer {
 public:
  /// @param pages must outlive the server.
  /// @throw Error(InputOutput) if the address cannot be used.
  AdminServer(boost::asio::io_context& io, const runtime::Address& address, const AdminPages& pages);

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Begins to accept connections.
  void start();

  /// @return the address in use, with the port that the system picked.
  runtime::Address listenAddress() const;

 private:
  void acceptNext();
  void serve(boost::asio::ip::tcp::socket socket);

  const AdminPages& pages_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  std::size_t connections_ = 0;
};

}  // namespace cometstand::admin
