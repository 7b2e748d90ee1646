#include "relay/http_get.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace cometstand::relay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;

namespace {

/// Largest answer that is read, in bytes; a machine list of the two-year size fits.
constexpr std::size_t kMaxBodyBytes = 4U * 1024U * 1024U;

constexpr unsigned kHttp11 = 11;

/// One request in flight; keeps itself alive by its pending operation.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Handler = std::function<void(const std::optional<std::string>&)>;

  Exchange(asio::io_context& io, Handler on_done) : stream_(io), on_done_(std::move(on_done)) {
    parser_.body_limit(kMaxBodyBytes);
  }

  void start(const asio::ip::tcp::endpoint& endpoint, const std::string& path, Duration time_limit) {
    request_.version(kHttp11);
    request_.method(http::verb::get);
    request_.target(path);
    request_.set(http::field::host, endpoint.address().to_string());
    request_.set(http::field::connection, "close");
    stream_.expires_after(time_limit);
    stream_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
      if (error) return self->finish(false);
      self->write();
    });
  }

 private:
  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
      if (error) return self->finish(false);
      self->read();
    });
  }

  void read() {
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](error_code error, std::size_t) {
      self->finish(!error && self->parser_.get().result() == http::status::ok);
    });
  }

  void finish(bool is_usable) {
    error_code ignored;
    stream_.socket().close(ignored);
    on_done_(is_usable ? std::optional(parser_.get().body()) : std::nullopt);
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  Handler on_done_;
};

}  // namespace

void httpGet(asio::io_context& io, const runtime::Address& address, const std::string& path,
             Duration time_limit, std::function<void(const std::optional<std::string>&)> on_done) {
  error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (error) {
    asio::post(io, [on_done = std::move(on_done)] { on_done(std::nullopt); });
    return;
  }
  std::make_shared<Exchange>(io, std::move(on_done))->start({host, address.port}, path, time_limit);
}

}  // namespace cometstand::relay
