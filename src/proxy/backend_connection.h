#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <map>
#include <memory>

#include "base/time.h"
#include "runtime/process_core.h"
#include "web/response_reader.h"

namespace cometstand::proxy {

/// Counts the open connections by address. Shared by the connections, which may outlive their pool.
using ConnectionCounts = std::map<runtime::Address, unsigned>;

/// One persistent connection to a back end.
class BackendConnection {
 public:
  BackendConnection(const boost::asio::any_io_executor& executor, runtime::Address address,
                    std::shared_ptr<ConnectionCounts> counts);
  ~BackendConnection();

  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// @return true once connected; false if the back end refused or the limit passed.
  boost::asio::awaitable<bool> connect(Duration limit);

  /// @return false if the back end closed the connection or sent something unasked.
  bool isQuiet();

  void close();

  boost::beast::tcp_stream& stream() { return stream_; }
  web::ResponseReader& reader() { return reader_; }
  const runtime::Address& address() const { return address_; }
  TimePoint idleSince() const { return idle_since_; }
  void setIdleSince(TimePoint now) { idle_since_ = now; }

 private:
  boost::beast::tcp_stream stream_;
  web::ResponseReader reader_;
  runtime::Address address_;
  std::shared_ptr<ConnectionCounts> counts_;
  TimePoint idle_since_;
};

using BackendConnectionPointer = std::shared_ptr<BackendConnection>;

}  // namespace cometstand::proxy
