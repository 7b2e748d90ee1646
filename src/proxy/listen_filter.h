#pragma once

namespace cometstand::proxy {

/// Makes a listening socket ignore new handshakes, while those begun before go on to their end. A listener
/// that is simply closed resets the connections that were made but not accepted yet, requests and all.
/// @return false if the system does not let a filter be attached.
bool ignoreNewHandshakes(int listening_socket);

}  // namespace cometstand::proxy
