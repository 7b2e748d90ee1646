#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// Appends changes and claims to the replicated log while this replica is the leader, in batches of many
/// commands per log entry, and answers each command after its entry has been applied. A command that was
/// never appended is answered NotRun. A command that was appended but is not known to be committed is
/// answered Unknown: at its deadline, or immediately when leadership is lost.
class LogWriter {
 public:
  explicit LogWriter(StoreContext& context) : context_(context) {}

  /// Queues one command. If the queue is full, the command is rejected immediately. One tenant may occupy
  /// only a part of the queue, so that it cannot block other tenants.
  /// @param estimated_bytes approximate size of the command in a log entry.
  void add(const Requester& requester, wire::StoreCommandT command, std::size_t estimated_bytes,
           TimePoint now);

  /// Appends queued commands to the log, up to the limit on batches in flight.
  void flush(TimePoint now);

  /// To be called after an entry of kind Command was applied; answers its commands.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results);

  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  std::size_t waiting() const { return waiting_.size(); }
  bool idle() const { return waiting_.empty() && in_flight_.empty(); }

 private:
  struct Pending {
    Requester requester;
    bool is_claim = false;
    bool answered = false;
    TimePoint deadline;
  };
  struct Waiting {
    Pending pending;
    std::string tenant;
    wire::StoreCommandT command;
    std::size_t estimated_bytes = 0;
  };
  struct Batch {
    consensus::LogIndex index = 0;
    consensus::Term term = 0;
    std::vector<Pending> commands;
  };

  bool appendBatch(TimePoint now);
  bool isFull(const std::string& tenant) const;
  void popWaiting();
  void fail(Pending& pending, wire::Outcome outcome, const Error& error);
  void answer(Pending& pending, const CommandResult& result);
  void answerUnknown(Pending& pending);

  StoreContext& context_;
  std::deque<Waiting> waiting_;
  std::map<std::string, std::size_t> waiting_by_tenant_;
  std::deque<Batch> in_flight_;
};

/// Counts the outcome of an operator command in the metrics and sends the reply.
void sendReply(StoreContext& context, const Requester& requester, wire::CommandReplyT reply);

}  // namespace cometstand::store
