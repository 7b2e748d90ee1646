#pragma once

#include <utility>

#include "runtime/process_core.h"

namespace cometstand::runtime {

/// Collects the actions of one ProcessCore until its runner takes them, and numbers its outgoing links.
class ActionQueue {
 public:
  void send(LinkId link, MessagePointer message) { actions_.messages.push_back({link, std::move(message)}); }

  /// Sends one message table in an envelope of its own.
  template <typename Message>
  void send(LinkId link, Message message, std::uint64_t request_id) {
    send(link, std::make_shared<const wire::EnvelopeT>(makeEnvelope(std::move(message), request_id)));
  }

  /// @return the id under which onLinkOpened() or onLinkClosed() will report the new link.
  /// @param time_limit the connect fails after that.
  LinkId connect(const Address& address, Duration time_limit = kConnectTimeLimit) {
    const LinkId link{++last_link_};
    actions_.connects.push_back({link, address, time_limit});
    return link;
  }

  /// Closes the link once all messages to it are written.
  void close(LinkId link) { actions_.closes.push_back(link); }

  /// Queues one file operation. @return the id that onFileWritten() or onFileFailed() will name.
  WriteId write(std::string file, FileWriteMode mode, std::vector<std::uint8_t> bytes) {
    const WriteId id{++last_write_};
    actions_.writes.push_back({id, std::move(file), mode, std::move(bytes)});
    return id;
  }

  Actions take() { return std::exchange(actions_, {}); }

 private:
  Actions actions_;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_write_ = 0;
};

}  // namespace cometstand::runtime
