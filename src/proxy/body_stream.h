#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <memory>
#include <string>

namespace cometstand::proxy {

/// Carries the parts of one large answer from the back end's connection to the caller's. Holds a few parts at
/// most: a slow caller slows the back end down. An end without error follows the last part of a whole body.
class BodyStream {
 public:
  explicit BodyStream(const boost::asio::any_io_executor& executor) : parts_(executor, kMaxWaitingParts) {}

  /// Parts; an empty one is the end of a whole body. A closed channel is a body cut short.
  using Channel = boost::asio::experimental::channel<void(boost::system::error_code, std::string)>;
  Channel& parts() { return parts_; }

  /// Either side gives up.
  void abort() { parts_.close(); }

 private:
  static constexpr std::size_t kMaxWaitingParts = 4;
  Channel parts_;
};

using BodyStreamPointer = std::shared_ptr<BodyStream>;

}  // namespace cometstand::proxy
