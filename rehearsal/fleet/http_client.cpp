#include "rehearsal/fleet/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace cometstand::rehearsal {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAnswerLimit = std::chrono::seconds(10);

/// One exchange, driven by its own io_context. Handlers only ever start the next step.
class Exchange {
 public:
  explicit Exchange(const HttpQuestion& question) {
    request_.version(11);
    request_.method_string(question.method);
    request_.target(question.target);
    request_.set(http::field::host, question.host.empty() ? "localhost" : question.host);
    for (const auto& [name, value] : question.fields) request_.set(name, value);
    request_.body() = question.body;
    request_.keep_alive(false);
    request_.prepare_payload();
  }

  std::optional<HttpAnswer> run(const boost::asio::ip::tcp::endpoint& server) {
    stream_.expires_after(kAnswerLimit);
    stream_.async_connect(server, [this](beast::error_code error) {
      if (!error) write();
    });
    io_.run();
    if (!complete_) return std::nullopt;
    return HttpAnswer{response_.result_int(), std::string(response_["X-Outcome"]),
                      std::move(response_.body()), std::string(response_[http::field::location])};
  }

 private:
  void write() {
    http::async_write(stream_, request_, [this](beast::error_code error, std::size_t) {
      if (!error) read();
    });
  }

  void read() {
    http::async_read(stream_, buffer_, response_,
                     [this](beast::error_code error, std::size_t) { complete_ = !error; });
  }

  boost::asio::io_context io_{1};
  beast::tcp_stream stream_{io_};
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  bool complete_ = false;
};

}  // namespace

std::optional<HttpAnswer> askOverHttp(const boost::asio::ip::tcp::endpoint& server,
                                      const HttpQuestion& question) {
  Exchange exchange(question);
  return exchange.run(server);
}

}  // namespace cometstand::rehearsal
