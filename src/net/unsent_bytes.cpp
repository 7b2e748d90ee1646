#include "net/unsent_bytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace cometstand::net {

std::size_t unsentBytes(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return 0;
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;  // NOLINT(*-vararg)
  return static_cast<std::size_t>(bytes);
}

}  // namespace cometstand::net
