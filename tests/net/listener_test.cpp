#include "net/listener.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "base/error.h"

using boost::asio::ip::tcp;
using cometstand::Error;
using cometstand::ErrorKind;

TEST_CASE("an address that is in use or is none is refused with the remedy") {
  boost::asio::io_context io;
  tcp::acceptor first(io);
  cometstand::net::listenOn(first, "127.0.0.1", 0, "choose another port");

  const std::uint16_t taken = first.local_endpoint().port();
  const std::string host = GENERATE("127.0.0.1", "localhost", "");
  tcp::acceptor second(io);
  try {
    cometstand::net::listenOn(second, host, taken, "choose another port");
    FAIL("listened on " << host << ":" << taken);
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::InputOutput);
    CHECK(error.remedy() == "choose another port");
  }
}
