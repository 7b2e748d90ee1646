#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "runtime/action_queue.h"
#include "runtime/process_core.h"

namespace cometstand::simulator {

/// Who sends a command.
struct OperatorIdentity {
  std::string tenant;
  std::string name;
  std::string token;
};

/// The last word that an operator got on one command.
struct CommandResult {
  std::string request_id;
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorKind kind = ErrorKind::None;
  std::string message;
  std::uint64_t version = 0;
  std::vector<std::vector<std::string>> rows;
  /// Times that it was sent.
  unsigned sendings = 0;
};

/// One operator: sends one command at a time to any replica, and sends it again under the same identifier,
/// through another replica, while its outcome is not known.
class OperatorClient : public runtime::ProcessCore {
 public:
  using Handler = std::function<void(const CommandResult&)>;

  OperatorClient(OperatorIdentity identity, std::vector<runtime::Address> stores, std::uint64_t seed);

  /// @param limit how long to go on; the outcome is Unknown then.
  void submit(std::string text, Duration limit, TimePoint now, Handler handler);
  bool busy() const { return command_.has_value(); }

  void start(const runtime::FileReader&, TimePoint) override {}
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint) override {}
  bool stopped() const override { return false; }

 private:
  struct Command {
    std::string text;
    Handler handler;
    CommandResult result;
    TimePoint give_up;
    /// Number of the first sending; answers to any of them count, since all are one command.
    std::uint64_t first_sending = 0;
    /// When the answer to the present sending counts as lost.
    TimePoint resend_at = TimePoint::max();
  };

  void connect(TimePoint now);
  void send();
  void tryElsewhere(TimePoint now, Duration pause);
  void onReply(const wire::CommandReplyT& reply, TimePoint now);
  void finish();

  OperatorIdentity identity_;
  std::vector<runtime::Address> stores_;
  RandomSource random_;
  runtime::ActionQueue actions_;
  std::optional<runtime::LinkId> link_;
  bool link_open_ = false;
  TimePoint connect_at_ = TimePoint::max();
  std::optional<Command> command_;
  std::uint64_t sendings_ = 0;
};

}  // namespace cometstand::simulator
