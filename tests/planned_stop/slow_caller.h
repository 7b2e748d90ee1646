// A caller that reads its answers slowly, as behind a slow link.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "base/time.h"

namespace cometstand::platform {

/// A connection of a caller with a small receive buffer. Blocking.
class SlowCaller {
 public:
  /// @throw boost::system::system_error if the connection cannot be opened.
  explicit SlowCaller(const boost::asio::ip::tcp::endpoint& server);

  /// Sends as many requests for a large answer at once (pipelining).
  void ask(std::size_t body_bytes, std::size_t requests = 1);

  /// Reads until something of an answer has come.
  void awaitFirstBytes();

  /// Reads on at the rate until the connection ends.
  /// @param bytes_per_second how fast.
  void readToEnd(double bytes_per_second);

  /// @return how many whole answers with bodies of that size came; those that break off do not count.
  std::size_t wholeAnswers(std::size_t body_bytes) const;
  /// The connection ended by a reset, which may throw away what had not been read.
  bool wasReset() const { return was_reset_; }
  std::size_t received() const { return received_.size(); }

 private:
  bool readSome();

  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool was_reset_ = false;
};

}  // namespace cometstand::platform
