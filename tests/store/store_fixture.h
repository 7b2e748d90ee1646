#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>

#include "base/error.h"
#include "config/token.h"
#include "memory_network.h"
#include "store/request_id.h"
#include "store/state_machine.h"

namespace cometstand::store::test {

/// Three replicas on an in-memory network with a bootstrap credential. Also provides the client side of the
/// protocol for operators and relays.
class ThreeReplicaCluster {
 public:
  static constexpr const char* kToken = "bootstrap-token";

  explicit ThreeReplicaCluster(std::uint64_t seed = 1) : network(3, seed) {
    const std::vector<std::uint8_t> salt(16, 7);
    for (std::size_t i = 0; i < 3; ++i) {
      network.options(i).bootstrap_salt = salt;
      network.options(i).bootstrap_token_hash = config::hashToken(salt, kToken);
    }
  }

  /// Starts all replicas and waits until every replica knows the leader.
  void begin() {
    network.startAll();
    waitForLeader();
  }

  std::size_t waitForLeader() {
    const bool found = network.runUntil([&] {
      const auto leader = network.leader();
      if (!leader) return false;
      for (std::size_t i = 0; i < 3; ++i) {
        if (network.isRunning(i) && !network.isCut(i) &&
            network.core(i).leadership().leader != network.options(*leader).self.id) {
          return false;
        }
      }
      return true;
    });
    if (!found) throw std::runtime_error("no leader was elected in time");
    return *network.leader();
  }

  /// @return a request identifier that has not been used before.
  std::string nextId() {
    ++last_id_;
    return makeRequestId(1'000'000 + last_id_, last_id_);
  }

  static wire::CommandRequestT command(const std::string& text, const std::string& request_id) {
    wire::CommandRequestT request;
    request.request_id = request_id;
    request.tenant = "mesh";
    request.operator_name = kBootstrapOperator;
    request.token = kToken;
    request.text = text;
    return request;
  }

  /// Sends a command over a new link.
  MemoryNetwork::ClientId send(std::size_t replica, const wire::CommandRequestT& request) {
    const auto client = network.connect(replica);
    network.send(client, runtime::makeEnvelope(request, 1));
    return client;
  }

  /// @return the first response to a command.
  wire::CommandReplyT answer(MemoryNetwork::ClientId client) {
    auto& received = network.received(client);
    if (!network.runUntil([&] { return !received.empty(); }))
      throw std::runtime_error("no response to the request arrived in time");
    return *received.front().body.AsCommandReply();
  }

  wire::CommandReplyT run(std::size_t replica, const std::string& text) {
    return answer(send(replica, command(text, nextId())));
  }

  /// Connects as a relay, subscribes and waits for the first message.
  /// @return the client of the new link.
  MemoryNetwork::ClientId follow(std::size_t replica, const std::string& relay, const std::string& zone,
                                 std::uint64_t have_version = 0) {
    const auto client = network.connect(replica);
    wire::FollowRequestT request;
    request.relay = relay;
    request.zone = zone;
    request.have_version = have_version;
    request.address = std::make_shared<wire::NetworkAddressT>();
    request.address->address = "127.0.0.1";
    request.address->port = 9;
    network.send(client, runtime::makeEnvelope(std::move(request)));
    if (!network.runUntil([&] { return !network.received(client).empty(); })) {
      throw std::runtime_error("no response to the subscription of a relay arrived in time");
    }
    return client;
  }

  template <typename Message>
  wire::ClaimReplyT claim(MemoryNetwork::ClientId relay, Message message) {
    auto& received = network.received(relay);
    received.clear();
    network.send(relay, runtime::makeEnvelope(std::move(message), ++last_id_));
    const auto is_answer = [&](const wire::EnvelopeT& envelope) { return envelope.request_id == last_id_; };
    const auto find = [&] { return std::find_if(received.begin(), received.end(), is_answer); };
    if (!network.runUntil([&] { return find() != received.end(); }))
      throw std::runtime_error("no response to the request arrived in time");
    return *find()->body.AsClaimReply();
  }

  MemoryNetwork network;

 private:
  std::uint64_t last_id_ = 0;
};

inline ErrorKind kindOf(const wire::CommandReplyT& reply) {
  return reply.error == nullptr ? ErrorKind::None : static_cast<ErrorKind>(reply.error->kind);
}

}  // namespace cometstand::store::test
