#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace cometstand::rehearsal {

/// Many back ends without work, as far as a relay's probes see them: each answers GET /healthz with its state
/// and incarnation. Several configured endpoints may share one of them.
class HollowBackends {
 public:
  /// Opens the given number of listeners on ports that the system picks.
  HollowBackends(boost::asio::io_context& io, std::size_t count);

  /// @return the ports in order.
  std::vector<std::uint16_t> ports() const;

  /// The back end starts anew: the next probe finds a higher incarnation, and a cold back end until the one
  /// after it.
  void restart(std::size_t index);

  std::uint64_t probesAnswered() const { return probes_answered_; }

 private:
  struct Backend {
    explicit Backend(boost::asio::io_context& io) : acceptor(io) {}
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint64_t incarnation = 1;
    bool cold = false;
  };

  boost::asio::awaitable<void> acceptLoop(Backend& backend);
  boost::asio::awaitable<void> serve(Backend& backend, boost::asio::ip::tcp::socket socket);

  std::vector<std::unique_ptr<Backend>> backends_;
  std::uint64_t probes_answered_ = 0;
};

}  // namespace cometstand::rehearsal
