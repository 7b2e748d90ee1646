#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// Puts changes and claims into the replicated log while this replica leads, many to one entry, and answers
/// them once the entry is applied. What was never appended is answered NotRun; what was appended and whose
/// commit is not seen is answered Unknown, at once when leadership is lost.
class LogWriter {
 public:
  explicit LogWriter(StoreContext& context) : context_(context) {}

  /// Queues one command. Too many waiting are answered at once; one tenant alone may take a part of the
  /// places, so that it cannot keep others out.
  /// @param cost bytes that the command takes in a log entry, about.
  void add(const Asker& asker, wire::StoreCommandT command, std::size_t cost, TimePoint now);

  /// Appends what waits, if the limit of entries in flight allows.
  void flush(TimePoint now);

  /// An entry of kind Command was applied.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results);

  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  std::size_t waiting() const { return waiting_.size(); }
  bool idle() const { return waiting_.empty() && in_flight_.empty(); }

 private:
  struct Pending {
    Asker asker;
    bool is_claim = false;
    bool answered = false;
    TimePoint deadline;
  };
  struct Waiting {
    Pending pending;
    std::string tenant;
    wire::StoreCommandT command;
    std::size_t cost = 0;
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

/// Counts an operator's answer in the metrics and sends it.
void sendReply(StoreContext& context, const Asker& asker, wire::CommandReplyT reply);

}  // namespace cometstand::store
