// cometstand-machine-list: stands in for the platform's list of live and leaving machines. GET /machines
// answers the list as it was a lag ago; POST /machines with a list of the same form notes changes.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <csignal>

#include "rehearsal/standin/events.h"
#include "rehearsal/standin/listen_address.h"
#include "rehearsal/standin/machine_list.h"
#include "rehearsal/standin/program_options.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using cometstand::SteadyClock;
using cometstand::rehearsal::MachineList;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

http::response<http::string_body> answer(MachineList& machines,
                                         const http::request<http::string_body>& request) {
  http::response<http::string_body> response(http::status::ok, request.version());
  response.set(http::field::content_type, "application/json");
  try {
    if (request.method() == http::verb::post) {
      machines.updateFromJson(SteadyClock::now(), boost::json::parse(request.body()));
    }
    response.body() = boost::json::serialize(machines.listed(SteadyClock::now()));
  } catch (const std::exception& error) {
    response.result(http::status::bad_request);
    response.body() = boost::json::serialize(boost::json::object{{"error", error.what()}});
  }
  response.keep_alive(request.keep_alive());
  response.prepare_payload();
  return response;
}

asio::awaitable<void> serve(MachineList& machines, tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    const auto [read_error, read_bytes] = co_await http::async_read(stream, buffer, request, kAwaitTuple);
    if (read_error) co_return;
    const auto response = answer(machines, request);
    const auto [write_error, write_bytes] = co_await http::async_write(stream, response, kAwaitTuple);
    if (write_error || !response.keep_alive()) co_return;
  }
}

asio::awaitable<void> acceptLoop(tcp::acceptor& acceptor, MachineList& machines) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(kAwaitTuple);
    if (error) co_return;
    asio::co_spawn(acceptor.get_executor(), serve(machines, std::move(socket)), asio::detached);
  }
}

void run(const std::string& listen, cometstand::Duration lag) {
  asio::io_context io(1);
  MachineList machines(lag);
  tcp::acceptor acceptor = cometstand::rehearsal::listenOn(io, cometstand::rehearsal::parseEndpoint(listen));
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  const auto address = acceptor.local_endpoint();
  cometstand::logEvent(
      cometstand::rehearsal::kStandinListening,
      {{"name", "machine-list"}, {"address", address.address().to_string()}, {"port", address.port()}});
  asio::co_spawn(io, acceptLoop(acceptor, machines), asio::detached);
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Stand-in for the platform's machine list.", ' ', cometstand::rehearsal::kKitVersion);
    cometstand::rehearsal::Option<std::string> listen(line, "listen", "Address to serve", "127.0.0.1:0",
                                                      "ip:port");
    cometstand::rehearsal::Option<double> lag(line, "lag-ms", "Age of the list", 2000, "ms");
    line.parse(argc, argv);
    run(*listen, cometstand::rehearsal::fromMilliseconds(*lag));
    return 0;
  } catch (const std::exception& error) {
    cometstand::logEvent(cometstand::rehearsal::kStandinFailed, {{"reason", error.what()}});
    return 1;
  }
}
