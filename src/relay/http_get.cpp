#include "relay/http_get.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "web/response_reader.h"

namespace cometstand::relay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;

namespace {

/// Largest answer that is read, in bytes; a machine list of the two-year size fits.
constexpr std::size_t kMaxBodyBytes = 4U * 1024U * 1024U;

constexpr std::size_t kReadBytes = 8U * 1024U;
constexpr unsigned kHttp11 = 11;

/// One request in flight; keeps itself alive by its pending operation.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Handler = std::function<void(const std::optional<std::string>&)>;

  Exchange(asio::io_context& io, Handler on_done) : stream_(io), on_done_(std::move(on_done)) {}

  void start(const asio::ip::tcp::endpoint& endpoint, const std::string& path, Duration time_limit) {
    request_.version(kHttp11);
    request_.method(http::verb::get);
    request_.target(path);
    request_.set(http::field::host, endpoint.address().to_string());
    request_.set(http::field::connection, "close");
    stream_.expires_after(time_limit);
    stream_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
      if (error) return self->finish(std::nullopt);
      self->write();
    });
  }

 private:
  using Progress = web::ResponseReader::Progress;

  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
      self->write_error_ = error;
      self->onProgress(self->reader_.begin({.body_bytes = kMaxBodyBytes}, false));
    });
  }

  void read() {
    stream_.async_read_some(
        reader_.prepare(kReadBytes), [self = shared_from_this()](error_code error, std::size_t bytes) {
          auto& reader = self->reader_;
          self->onProgress(error ? reader.onEnd(error, self->write_error_) : reader.onReceived(bytes));
        });
  }

  void onProgress(Progress progress) {
    if (progress == Progress::Open) return read();
    const bool is_usable = progress == Progress::Whole && reader_.message().result() == http::status::ok;
    finish(is_usable ? std::optional(reader_.takeBody()) : std::nullopt);
  }

  void finish(const std::optional<std::string>& body) {
    error_code ignored;
    stream_.socket().close(ignored);
    on_done_(body);
  }

  beast::tcp_stream stream_;
  web::ResponseReader reader_;
  error_code write_error_;
  http::request<http::empty_body> request_;
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
