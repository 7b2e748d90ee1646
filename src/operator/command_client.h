#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "runtime/action_queue.h"
#include "runtime/process_core.h"
#include "runtime/reconnect_backoff.h"

namespace cometstand::command {

/// What one command needs to reach the store.
struct ClientOptions {
  /// Replicas of the store, tried in turn.
  std::vector<runtime::Address> stores;
  /// Who asks, and what. Its request identifier stays the same over all resends.
  wire::CommandRequestT request;
  /// False if the command changes something, so that an answer that was lost leaves its outcome unknown.
  bool is_query = true;
  /// The whole time for the command.
  Duration time_limit = std::chrono::seconds(20);
  /// Time for the answer of one replica; then the next one is asked.
  Duration attempt_limit = std::chrono::seconds(8);
  /// For the first replica to try and the pauses.
  std::uint64_t seed = 0;
};

/// How a command ended.
struct ClientResult {
  wire::CommandReplyT reply;
  /// False if no replica was reached: `reply` is then the client's own, and not_run.
  bool reached = false;
};

/// The decision logic of cometctl: sends one command to the replicas in turn until its outcome is known or
/// the time limit has passed. Resends carry the same request identifier, so that the store runs it once.
///
/// Invariant: the result is `not_run` only if no attempt can have run. After an attempt without an answer, a
/// later replica's "come back later" says nothing about that attempt, so the command is sent again, and ends
/// as `unknown` if the time limit passes.
class CommandClient : public runtime::ProcessCore {
 public:
  explicit CommandClient(ClientOptions options);

  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint now) override;
  bool stopped() const override { return result_.has_value(); }

  /// @return how the command ended; nothing before that.
  const std::optional<ClientResult>& result() const { return result_; }

 private:
  void connectNext();
  void scheduleNext(TimePoint now, Duration wish);
  void endAttempt(TimePoint now, Duration wish);
  void onReply(const wire::CommandReplyT& reply, TimePoint now);
  void finish(wire::CommandReplyT reply);
  void finishOverdue();
  /// @return true if an earlier attempt at a change may have run, although no answer says so.
  bool mayHaveRun() const { return may_have_run_ && !options_.is_query; }

  ClientOptions options_;
  RandomSource random_;
  runtime::ActionQueue actions_;
  runtime::ReconnectBackoff backoff_;
  std::size_t next_store_ = 0;
  /// The attempt under way.
  std::optional<runtime::LinkId> link_;
  bool sent_ = false;
  TimePoint attempt_deadline_ = TimePoint::max();
  TimePoint connect_at_ = TimePoint::max();
  TimePoint deadline_ = TimePoint::max();
  /// An attempt was sent that got no answer, or `unknown`.
  bool may_have_run_ = false;
  bool reached_ = false;
  /// Replicas that cannot take the command now.
  std::set<std::size_t> refused_by_;
  std::optional<wire::CommandReplyT> last_reply_;
  std::optional<ClientResult> result_;
};

}  // namespace cometstand::command
