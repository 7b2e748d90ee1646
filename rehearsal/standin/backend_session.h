#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "rehearsal/standin/backend.h"

namespace cometstand::rehearsal {

/// One connection to a back-end stand-in; at most one request at a time is in work on it.
struct Backend::Session {
  explicit Session(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)), timer(stream.get_executor()) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  /// Ends the wait for a slot, for the deadline, or for the end of the work.
  boost::asio::steady_timer timer;
  /// When the current request's deadline passes.
  TimePoint deadline = TimePoint::max();
  bool has_slot = false;
};

}  // namespace cometstand::rehearsal
