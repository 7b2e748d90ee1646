#include "net/tls_context.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::net {

namespace ssl = boost::asio::ssl;
using boost::system::error_code;

namespace {

void requireRead(const error_code& error, const std::string& setting, const std::string& file) {
  if (!error) return;
  throw Error(ErrorKind::InputOutput, fmt::format("{}: cannot use {}: {}", setting, file, error.message()),
              "name a readable PEM file; key and certificate belong together");
}

}  // namespace

std::unique_ptr<ssl::context> makeTlsContext(const TlsFiles& files) {
  auto context = std::make_unique<ssl::context>(ssl::context::tls);
  context->set_options(ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1 | ssl::context::no_sslv3 |
                       ssl::context::no_compression);
  error_code error;
  context->use_certificate_chain_file(files.certificate, error);
  requireRead(error, "tls.certificate", files.certificate);
  context->use_private_key_file(files.key, ssl::context::pem, error);
  requireRead(error, "tls.key", files.key);
  context->load_verify_file(files.authority, error);
  requireRead(error, "tls.authority", files.authority);
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  return context;
}

}  // namespace cometstand::net
