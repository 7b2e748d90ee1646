#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::relay {

/// Sends one HTTP GET on a connection of its own.
/// @param on_done called once on the io_context: the body of a whole answer with status 200, else nothing.
void httpGet(boost::asio::io_context& io, const runtime::Address& address, const std::string& path,
             Duration time_limit, std::function<void(const std::optional<std::string>&)> on_done);

}  // namespace cometstand::relay
