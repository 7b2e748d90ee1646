#include "rehearsal/fleet/operator_console.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <utility>

#include "base/error.h"
#include "base/random.h"
#include "net/link.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::rehearsal {

namespace {

constexpr Duration kConnectLimit = std::chrono::seconds(3);
/// How long a `wait` waits, and one replica is given to answer it.
constexpr const char* kWaitLimitText = "5s";
constexpr Duration kWaitAttemptLimit = std::chrono::seconds(8);
/// Pause before a command is sent again when the answer names none.
constexpr Duration kResendPause = std::chrono::milliseconds(100);

/// One command sent over one link, driven by its own io_context.
class Exchange {
 public:
  Exchange(boost::asio::ssl::context* tls, wire::CommandRequestT request)
      : request_(runtime::makeEnvelope(std::move(request), kRequestNumber)) {
    net::LinkHandlers handlers;
    handlers.on_message = [this](const wire::EnvelopeT& envelope) { onMessage(envelope); };
    handlers.on_closed = [this](const std::string&) { io_.stop(); };
    link_ = std::make_shared<net::Link>(net::Link::Socket(io_), tls, std::move(handlers));
  }

  CommandResult run(const runtime::Address& store, Duration limit) {
    link_->connect(store, kConnectLimit, [this](const runtime::PeerIdentity&) { link_->send(request_); });
    io_.run_for(limit);
    link_->close("the exchange is over");
    io_.restart();
    io_.run_for(kResendPause);
    return std::move(result_);
  }

 private:
  static constexpr std::uint64_t kRequestNumber = 1;

  void onMessage(const wire::EnvelopeT& envelope) {
    const auto* reply = envelope.body.AsCommandReply();
    if (reply == nullptr || envelope.request_id != kRequestNumber || result_.answered) return;
    result_.reply = *reply;
    result_.answered = true;
    io_.stop();
  }

  boost::asio::io_context io_{1};
  wire::EnvelopeT request_;
  std::shared_ptr<net::Link> link_;
  CommandResult result_;
};

/// @return true if the same command may come through later.
bool waitingMayHelp(const CommandResult& result) {
  if (!result.answered || result.reply.outcome == wire::Outcome::Unknown) return true;
  const auto kind = static_cast<ErrorKind>(result.errorKind());
  return kind == ErrorKind::Unavailable || kind == ErrorKind::Overloaded || kind == ErrorKind::Stopping;
}

Duration pauseAfter(const CommandResult& result) {
  if (!result.reply.error || result.reply.error->retry_after_ms == 0) return kResendPause;
  return std::chrono::milliseconds(result.reply.error->retry_after_ms);
}

}  // namespace

std::string CommandResult::text() const {
  if (!answered) return "no answer";
  if (!reply.error)
    return fmt::format("{} at version {}", wire::EnumNameOutcome(reply.outcome), reply.version);
  return fmt::format("{}: {}: {}", wire::EnumNameOutcome(reply.outcome),
                     errorKindName(static_cast<ErrorKind>(reply.error->kind)), reply.error->message);
}

std::string CommandResult::cell(std::size_t row, const std::string& column) const {
  const auto found = std::find(reply.columns.begin(), reply.columns.end(), column);
  if (found == reply.columns.end() || row >= reply.rows.size()) return "";
  return reply.rows[row]->cells.at(static_cast<std::size_t>(found - reply.columns.begin()));
}

OperatorConsole::OperatorConsole(OperatorIdentity identity, std::vector<runtime::Address> stores,
                                 boost::asio::ssl::context* tls)
    : identity_(std::move(identity)), stores_(std::move(stores)), tls_(tls) {}

std::string OperatorConsole::newRequestId() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
  return fmt::format("{}-{:016x}", now, systemSeed());
}

CommandResult OperatorConsole::tryOnce(std::size_t store, const std::string& request_id,
                                       const std::string& text, Duration limit) {
  wire::CommandRequestT request;
  request.request_id = request_id;
  request.tenant = identity_.tenant;
  request.operator_name = identity_.name;
  request.token = identity_.token;
  request.text = text;
  Exchange exchange(tls_, std::move(request));
  return exchange.run(stores_.at(store), limit);
}

CommandResult OperatorConsole::run(const std::string& text, Duration attempt_limit) {
  const std::string request_id = newRequestId();
  CommandResult result;
  waitUntil("a command has its final answer: " + text.substr(0, text.find('\n')), [&] {
    const std::size_t store = next_store_++ % stores_.size();
    result = tryOnce(store, request_id, text, attempt_limit);
    if (!waitingMayHelp(result)) return true;
    pauseFor(pauseAfter(result));
    return false;
  });
  return result;
}

std::uint64_t OperatorConsole::mustRun(const std::string& text) {
  const CommandResult result = run(text);
  if (result.completed()) return result.reply.version;
  throw Error(ErrorKind::Invalid, fmt::format("'{}' was refused: {}", text, result.text()),
              result.reply.error ? result.reply.error->remedy : "look into the stores' logs");
}

void OperatorConsole::waitInForce(std::uint64_t version) {
  const std::string text = fmt::format("wait version {} in force timeout {}", version, kWaitLimitText);
  waitUntil(fmt::format("version {} is in force everywhere", version),
            [&] { return run(text, kWaitAttemptLimit).completed(); });
}

}  // namespace cometstand::rehearsal
