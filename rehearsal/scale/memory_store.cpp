#include "rehearsal/scale/memory_store.h"

#include <utility>
#include <variant>

#include "base/error.h"
#include "config/transaction_check.h"
#include "operator/command.h"

namespace cometstand::rehearsal {

using runtime::LinkId;

namespace {

constexpr Duration kBeatInterval = std::chrono::seconds(1);
constexpr const char* kAdministratorTenant = "mesh";

wire::CommandReplyT refused(ErrorKind kind, const std::string& message, const std::string& remedy) {
  wire::CommandReplyT reply;
  reply.outcome = wire::Outcome::NotRun;
  reply.error = std::make_shared<wire::ErrorInfoT>();
  reply.error->kind = static_cast<std::uint16_t>(kind);
  reply.error->message = message;
  reply.error->remedy = remedy;
  return reply;
}

}  // namespace

void MemoryStore::start(const runtime::FileReader& /*files*/, TimePoint now) {
  beat_at_ = now + kBeatInterval;
}

void MemoryStore::onLinkClosed(LinkId link, TimePoint /*now*/) { readers_.erase(link); }

void MemoryStore::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint /*now*/) {
  if (const auto* command = message.body.AsCommandRequest()) {
    const auto before = catalog_.version();
    actions_.send(link, execute(*command), message.request_id);
    if (catalog_.version() > before) publish(before);
  } else if (const auto* request = message.body.AsFollowRequest()) {
    follow(link, *request);
  } else if (message.body.AsFreshnessRequest() != nullptr) {
    actions_.send(link, nextBeat(), message.request_id);
  }
}

wire::CommandReplyT MemoryStore::execute(const wire::CommandRequestT& request) {
  try {
    const auto parsed = command::parseCommand(request.text);
    const auto* change = std::get_if<command::Change>(&parsed);
    if (change == nullptr) {
      return refused(ErrorKind::Invalid, "the memory store knows changes only", "use the real store");
    }
    const auto transaction = command::toTransaction(*change, request.tenant);
    config::checkTransaction(catalog_, {kAdministratorTenant, true}, transaction);
    wire::CommandReplyT reply;
    reply.version = catalog_.apply(transaction);
    return reply;
  } catch (const Error& error) {
    return refused(error.kind(), error.message(), error.remedy());
  }
}

/// One reader a zone: the others of the zone are sent to it.
void MemoryStore::follow(LinkId link, const wire::FollowRequestT& request) {
  for (const auto& [other, reader] : readers_) {
    if (reader.zone != request.zone || other == link) continue;
    wire::RefusalT refusal;
    refusal.alternatives.push_back(reader.address);
    actions_.send(link, std::move(refusal), 0);
    actions_.close(link);
    return;
  }
  readers_[link] = {request.zone, request.address};
  const auto changes = request.have_version > 0 ? catalog_.changesSince(request.have_version) : std::nullopt;
  if (changes) {
    wire::ConfigurationDeltaT delta;
    delta.from_version = request.have_version;
    delta.to_version = catalog_.version();
    delta.changes = *changes;
    actions_.send(link, std::move(delta), 0);
  } else if (catalog_.version() > 0) {
    wire::ConfigurationSnapshotT snapshot;
    snapshot.version = catalog_.version();
    snapshot.changes = catalog_.livingObjects();
    actions_.send(link, std::move(snapshot), 0);
  }
  actions_.send(link, nextBeat(), 0);
}

void MemoryStore::publish(std::uint64_t from_version) {
  wire::ConfigurationDeltaT delta;
  delta.from_version = from_version;
  delta.to_version = catalog_.version();
  delta.changes = *catalog_.changesSince(from_version);
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(delta)));
  for (const auto& [link, reader] : readers_) actions_.send(link, message);
}

wire::QuorumBeatT MemoryStore::nextBeat() {
  wire::QuorumBeatT beat;
  beat.term = 1;
  beat.round = ++round_;
  beat.version = catalog_.version();
  return beat;
}

void MemoryStore::onTimer(TimePoint now) {
  if (beat_at_ > now) return;
  beat_at_ = now + kBeatInterval;
  const auto beat = nextBeat();
  for (const auto& [link, reader] : readers_) actions_.send(link, beat, 0);
}

}  // namespace cometstand::rehearsal
