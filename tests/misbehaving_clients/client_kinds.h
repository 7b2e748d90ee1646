#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/time.h"

namespace cometstand::platform {

/// Where misbehaving clients connect, and how their requests begin.
struct ServedAddress {
  std::string name;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string host;
  std::string path = "/";
  /// Of requests with a body.
  std::string body_method = "POST";
  /// Further header fields, each with its line end.
  std::string fields{};
};

/// What each connection of a kind of client does; it returns when the connection is to be closed.
using Play = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket&, const ServedAddress&)>;

/// Clients that a server cannot trust.
struct ClientKind {
  std::string name;
  /// Connections at once.
  std::size_t connections = 0;
  Play play;
};

/// How a body is written.
struct BodyPlan {
  std::size_t bytes = 0;
  /// Bytes of one write.
  std::size_t write_bytes = 256 * 1024;
  /// Bytes of one chunk; 0 for a body with a length.
  std::size_t chunk_bytes = 0;
  /// Text behind each chunk's size.
  std::string extension{};
  /// The length that is announced, if it is not `bytes`.
  std::size_t announced_bytes = 0;
  /// Bytes after which nothing more is sent while the connection stays open; 0 for none.
  std::size_t stops_after = 0;
  /// Bytes at the end that are sent one by one, each after the pause.
  std::size_t slow_bytes = 0;
  Duration slow_pause = std::chrono::milliseconds(500);
  /// Trailer fields of a chunked body.
  std::size_t trailers = 0;
  /// Fields of the head besides the usual ones.
  std::size_t fields = 0;
};

/// @return every kind, with bodies in many forms, heads, requests that are sent ahead, and slow clients.
const std::vector<ClientKind>& allClientKinds();
/// @return the kind of that name. @throw Error(Invalid) if there is none.
const ClientKind& clientKind(const std::string& name);

/// Sends one request with the body and waits for the beginning of its answer.
/// @return the status of the answer; 0 if there is none.
boost::asio::awaitable<unsigned> sendBody(boost::asio::ip::tcp::socket& socket, const ServedAddress& address,
                                          const BodyPlan& plan);

}  // namespace cometstand::platform
