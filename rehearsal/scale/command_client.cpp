#include "rehearsal/scale/command_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/error.h"
#include "runtime/process_runner.h"

namespace cometstand::rehearsal {

namespace {

constexpr Duration kAttemptLimit = std::chrono::seconds(8);
constexpr Duration kRetryPause = std::chrono::milliseconds(200);

/// Errors that another attempt cannot mend.
bool isFinal(const wire::CommandReplyT& reply) {
  if (reply.outcome != wire::Outcome::NotRun || !reply.error) return false;
  switch (static_cast<ErrorKind>(reply.error->kind)) {
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
    case ErrorKind::Stopping:
    case ErrorKind::Timeout:
      return false;
    default:
      return true;
  }
}

[[noreturn]] void throwRefused(const wire::CommandReplyT& reply) {
  throw Error(static_cast<ErrorKind>(reply.error->kind), reply.error->message, reply.error->remedy);
}

}  // namespace

CommandClient::CommandClient(std::vector<runtime::Address> stores, OperatorIdentity identity)
    : stores_(std::move(stores)), identity_(std::move(identity)) {}

wire::CommandReplyT CommandClient::execute(const std::string& text, Duration limit) {
  const TimePoint deadline = SteadyClock::now() + limit;
  wire::CommandRequestT request;
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  request.request_id = fmt::format("{}-scale-{}", milliseconds.count(), ++last_request_);
  request.tenant = identity_.tenant;
  request.operator_name = identity_.name;
  request.token = identity_.token;
  request.text = text;
  while (SteadyClock::now() < deadline) {
    const auto reply = attempt(request, deadline);
    if (reply && reply->outcome == wire::Outcome::Completed) return *reply;
    if (reply && isFinal(*reply)) throwRefused(*reply);
    if (!reply && link_) link_->close("no answer in time");
    const auto wish = std::chrono::milliseconds(reply && reply->error ? reply->error->retry_after_ms : 0);
    std::this_thread::sleep_for(std::max<Duration>(wish, kRetryPause));
  }
  throw Error(ErrorKind::Timeout, "the store did not take a command in time", "see the logs of the stores");
}

std::optional<wire::CommandReplyT> CommandClient::attempt(const wire::CommandRequestT& request,
                                                          TimePoint deadline) {
  const TimePoint limit = std::min(deadline, SteadyClock::now() + kAttemptLimit);
  connect(limit);
  if (!ready_) return std::nullopt;
  reply_.reset();
  link_->send(runtime::makeEnvelope(request, ++last_request_));
  runUntil(limit, [this] { return reply_.has_value() || !ready_; });
  return std::exchange(reply_, std::nullopt);
}

void CommandClient::connect(TimePoint deadline) {
  if (ready_) return;
  auto closed = std::make_shared<bool>(false);
  net::LinkHandlers handlers;
  handlers.on_message = [this](const wire::EnvelopeT& envelope) {
    const auto* reply = envelope.body.AsCommandReply();
    if (reply != nullptr && envelope.request_id == last_request_) reply_ = *reply;
  };
  handlers.on_closed = [this, closed](const std::string&) {
    *closed = true;
    ready_ = false;
  };
  link_ = std::make_shared<net::Link>(boost::asio::ip::tcp::socket(io_), nullptr, std::move(handlers));
  link_->connect(stores_[next_store_++ % stores_.size()], runtime::kConnectTimeLimit,
                 [this](const runtime::PeerIdentity&) { ready_ = true; });
  runUntil(deadline, [this, closed] { return ready_ || *closed; });
}

void CommandClient::runUntil(TimePoint deadline, const std::function<bool()>& done) {
  io_.restart();
  while (!done() && SteadyClock::now() < deadline) io_.run_one_for(deadline - SteadyClock::now());
}

}  // namespace cometstand::rehearsal
