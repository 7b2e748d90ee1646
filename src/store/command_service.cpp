#include "store/command_service.h"

#include <fmt/format.h>

#include <memory>
#include <type_traits>
#include <utility>

#include "base/error.h"
#include "config/object_digest.h"
#include "config/object_key.h"
#include "config/token.h"
#include "store/replies.h"
#include "store/request_id.h"

namespace cometstand::store {
namespace {

/// Combines lambdas into one visitor for std::visit.
template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace

void CommandService::onCommand(const Requester& requester, const wire::CommandRequestT& request,
                               TimePoint now) {
  try {
    if (stopping_) {
      throw Error(ErrorKind::Stopping, "this replica is stopping", "send the command to another replica",
                  context_.options.retry_after);
    }
    auto command = std::make_shared<Command>(Command{request, command::parseCommand(request.text)});
    const bool is_change = std::holds_alternative<command::Change>(command->parsed);
    if (is_change && !requestTime(request.request_id)) {
      throw Error(ErrorKind::Invalid, "the request identifier is not of the form TIME-REST",
                  "begin it with the time in milliseconds since 1970 and a hyphen, such as "
                  "1767225600000-5f3a, and keep it for resends");
    }
    if (context_.isLeader()) {
      processOnLeader(requester, std::move(command), now);
    } else if (request.forwarded) {
      throw Error(ErrorKind::Unavailable, "this replica does not lead", "send the command again",
                  context_.options.retry_after);
    } else {
      dependencies_.forwarder.forward(requester, request, !command::isQuery(command->parsed),
                                      forwardTimeLimit(command->parsed), now);
    }
  } catch (const Error& error) {
    sendReply(context_, requester, notRunReply<wire::CommandReplyT>(error));
  }
}

Duration CommandService::forwardTimeLimit(const command::Command& command) const {
  const auto& options = context_.options;
  Duration time_limit = options.command_time_limit + options.status_time_limit;
  if (const auto* wait = std::get_if<command::WaitInForce>(&command)) {
    time_limit += std::min(wait->timeout, options.max_wait);
  } else if (std::holds_alternative<command::ReplaceReplica>(command)) {
    time_limit += options.repair_time_limit;
  }
  return time_limit;
}

void CommandService::processOnLeader(const Requester& requester, std::shared_ptr<const Command> command,
                                     TimePoint now) {
  if (std::holds_alternative<command::Change>(command->parsed)) {
    // Needs no quorum round: committing the log entry takes a quorum, and the state machine checks the
    // credential again at the log position.
    if (const auto identity = authenticate(command->request)) {
      addChange(requester, *command, *identity, now);
      return;
    }
  }
  context_.reads.requestRead(
      [this, requester, command = std::move(command)](bool confirmed, TimePoint confirmed_at) {
        try {
          if (!confirmed) {
            throw Error(ErrorKind::Unavailable, "this replica is not known to lead", "send the command again",
                        context_.options.retry_after);
          }
          const auto identity = authenticate(command->request);
          if (!identity) {
            throw Error(ErrorKind::Unauthenticated, "tenant, operator name or token is wrong",
                        "check the three, or ask an administrator for a new credential");
          }
          const ExecutionContext execution{requester, *identity, confirmed_at};
          std::visit(Overloaded{[&](const command::Change& /*change*/) {
                                  addChange(requester, *command, *identity, confirmed_at);
                                },
                                [&](const auto& other) { execute(execution, other); }},
                     command->parsed);
        } catch (const Error& error) {
          sendReply(context_, requester, notRunReply<wire::CommandReplyT>(error));
        }
      },
      now);
}

std::optional<CommandService::Identity> CommandService::authenticate(
    const wire::CommandRequestT& request) const {
  const auto key = config::makeKey(wire::ObjectKind::Credential, request.tenant, request.operator_name);
  if (const auto object = context_.state.catalog().find(key)) {
    const auto* credential = object->spec.AsCredentialSpec();
    if (!config::verifyToken(credential->salt, credential->token_hash, request.token)) return std::nullopt;
    return Identity{{request.tenant, credential->administrator}, context_.state.catalog().versionOf(key)};
  }
  const auto& options = context_.options;
  const bool is_bootstrap =
      request.tenant == config::kMeshTenant && request.operator_name == kBootstrapOperator;
  if (!is_bootstrap || options.bootstrap_token_hash.empty()) return std::nullopt;
  if (!config::verifyToken(options.bootstrap_salt, options.bootstrap_token_hash, request.token))
    return std::nullopt;
  return Identity{{request.tenant, true}, 0};
}

void CommandService::addChange(const Requester& requester, const Command& command, const Identity& identity,
                               TimePoint now) {
  const auto& request = command.request;
  wire::ChangeCommandT change;
  change.request_id = request.request_id;
  change.tenant = request.tenant;
  change.operator_name = request.operator_name;
  change.credential_version = identity.credential_version;
  change.text_digest = std::make_shared<wire::Digest>(config::textDigest(request.text));
  change.transaction = std::make_shared<wire::TransactionT>(
      command::toTransaction(std::get<command::Change>(command.parsed), request.tenant));
  wire::StoreCommandT store_command;
  store_command.body.Set(std::move(change));
  dependencies_.writer.add(requester, std::move(store_command), request.text.size(), now);
}

}  // namespace cometstand::store
