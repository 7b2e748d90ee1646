#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/link.h"
#include "runtime/process_core.h"

namespace cometstand::rehearsal {

/// Who gives the commands.
struct OperatorIdentity {
  std::string tenant;
  std::string name;
  std::string token;
};

/// Gives commands to the store, one at a time, as an operator's client does: a command without an answer is
/// sent again under its identifier, one that did not run is sent again when the store says.
class CommandClient {
 public:
  CommandClient(std::vector<runtime::Address> stores, OperatorIdentity identity);

  /// @param limit for all attempts together.
  /// @return the answer `completed`.
  /// @throw Error of the kind that the store named, or Error(Timeout).
  wire::CommandReplyT execute(const std::string& text, Duration limit);

 private:
  std::optional<wire::CommandReplyT> attempt(const wire::CommandRequestT& request, TimePoint deadline);
  void connect(TimePoint deadline);
  void runUntil(TimePoint deadline, const std::function<bool()>& done);

  boost::asio::io_context io_;
  std::vector<runtime::Address> stores_;
  OperatorIdentity identity_;
  std::size_t next_store_ = 0;
  std::shared_ptr<net::Link> link_;
  bool ready_ = false;
  std::uint64_t last_request_ = 0;
  std::optional<wire::CommandReplyT> reply_;
};

}  // namespace cometstand::rehearsal
