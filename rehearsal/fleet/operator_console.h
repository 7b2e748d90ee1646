#pragma once

#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"

namespace cometstand::rehearsal {

/// Who gives commands.
struct OperatorIdentity {
  std::string tenant;
  std::string name;
  std::string token;
};

/// What became of one command.
struct CommandResult {
  wire::CommandReplyT reply;
  /// True if an answer came at all.
  bool answered = false;

  bool completed() const { return answered && reply.outcome == wire::Outcome::Completed; }
  /// @return the value of cometstand::ErrorKind in the answer.
  std::uint16_t errorKind() const { return reply.error ? reply.error->kind : 0; }
  /// @return the cell of the named column; empty if there is none.
  std::string cell(std::size_t row, const std::string& column) const;
  /// @return outcome, kind and message for reports.
  std::string text() const;
};

/// How long one replica has to answer a command that waits for nothing.
inline constexpr Duration kAttemptLimit = std::chrono::seconds(3);

/// Gives an operator's commands to any store replica that answers.
class OperatorConsole {
 public:
  /// @param stores all replicas; each attempt takes the next one.
  /// @param tls nullptr for plain TCP; must outlive the console.
  OperatorConsole(OperatorIdentity identity, std::vector<runtime::Address> stores,
                  boost::asio::ssl::context* tls);

  /// @return a fresh request identifier.
  std::string newRequestId();

  /// One attempt at the given replica.
  CommandResult tryOnce(std::size_t store, const std::string& request_id, const std::string& text,
                        Duration limit = std::chrono::seconds(10));

  /// Sends the command, under one request identifier, until it completed.
  /// @param attempt_limit how long one replica is given, so that a frozen one holds nobody up for long.
  /// @return the completed answer, or the first refusal that waiting cannot help.
  /// @throw Error(Timeout) if neither comes in time.
  CommandResult run(const std::string& text, Duration attempt_limit = kAttemptLimit);

  /// Like run(), but anything else than "completed" is an error.
  /// @return the version of the answer.
  std::uint64_t mustRun(const std::string& text);

  /// Waits until the version is in force on every proxy.
  /// @throw Error(Timeout) if it does not come to that.
  void waitInForce(std::uint64_t version);

 private:
  OperatorIdentity identity_;
  std::vector<runtime::Address> stores_;
  boost::asio::ssl::context* tls_;
  std::size_t next_store_ = 0;
};

}  // namespace cometstand::rehearsal
