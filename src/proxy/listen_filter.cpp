#include "proxy/listen_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace cometstand::proxy {

bool ignoreNewHandshakes(int listening_socket) {
  // Offsets within the TCP header, which is where a TCP socket's filter begins (RFC 9293, section 3.1).
  constexpr unsigned kFlagsOffset = 13;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kAck = 0x10;
  constexpr unsigned kPassWhole = 0xffffffff;
  constexpr unsigned kDrop = 0;
  std::array<sock_filter, 5> program{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 0, 2),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kAck, 1, 0),
      BPF_STMT(BPF_RET | BPF_K, kDrop),
      BPF_STMT(BPF_RET | BPF_K, kPassWhole),
  }};
  const sock_fprog attached{static_cast<unsigned short>(program.size()), program.data()};
  return ::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_FILTER, &attached, sizeof(attached)) == 0;
}

}  // namespace cometstand::proxy
