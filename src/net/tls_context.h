#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>

namespace cometstand::net {

/// PEM files of one process.
struct TlsFiles {
  /// The process's certificate. Its subject says who it is: OU the role, CN the name, O an operator's tenant.
  std::string certificate;
  std::string key;
  /// Certificates of the authorities that sign the other processes.
  std::string authority;
};

/// @return a context for both ends of a Link: TLS 1.2 or later, and a peer without a certificate of the
///   authority is refused. Who the peer is, and whether it may be there, is for the core to judge by its
///   PeerIdentity; host names play no part, since processes know each other by IP address.
/// @throw Error(InputOutput) if a file cannot be read, or key and certificate do not belong together; the
///   message names setting and file.
std::unique_ptr<boost::asio::ssl::context> makeTlsContext(const TlsFiles& files);

}  // namespace cometstand::net
