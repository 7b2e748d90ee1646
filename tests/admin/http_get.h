#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>

#include "runtime/process_core.h"

namespace cometstand::admin {

/// Sends raw bytes and waits for one answer. Blocks.
inline boost::beast::http::response<boost::beast::http::string_body> askRaw(const runtime::Address& address,
                                                                            const std::string& bytes) {
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  stream.connect({boost::asio::ip::make_address(address.host), address.port});
  boost::asio::write(stream.socket(), boost::asio::buffer(bytes));
  boost::beast::flat_buffer buffer;
  boost::beast::http::response<boost::beast::http::string_body> response;
  boost::beast::http::read(stream, buffer, response);
  return response;
}

inline boost::beast::http::response<boost::beast::http::string_body> get(const runtime::Address& address,
                                                                         const std::string& path) {
  return askRaw(address, "GET " + path + " HTTP/1.1\r\nHost: admin\r\n\r\n");
}

}  // namespace cometstand::admin
