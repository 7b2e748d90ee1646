#include "store/store_settings.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <limits>

#include "base/error.h"
#include "config/limits.h"

namespace cometstand::store {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Bounds of the number of voters in a cluster that manages its own membership (store.seeds).
constexpr std::size_t kMinVoters = 3;
constexpr std::size_t kMaxVoters = 9;
constexpr std::uint64_t kMaxId = std::numeric_limits<std::int64_t>::max();

void declareReplicas(settings::SettingsTable& table, StoreSettings& store) {
  table.integer(
      "store.id", store.id, {0, kMaxId},
      "Identifier of this replica, at least 1 and never reused: a replica whose disk was lost needs a new "
      "one. Must not be set with store.seeds; the identifier is then generated at random and stored in the "
      "data folder.");
  table.text("store.name", store.name, "Name of this replica in logs and in show replicas.").required();
  table.address("store.advertise", store.advertise,
                "Address at which other replicas, relays and operators reach this replica; defaults to "
                "listen.address.");
  table.rows<ReplicaSettings>(
      "store.replicas", store.replicas,
      "Initial voters of the cluster, including this replica if it is one of them. A replica that is added "
      "later also uses the list to reach the cluster.",
      [](settings::SettingsTable& row, ReplicaSettings& replica) {
        row.integer("id", replica.id, {1, kMaxId}, "Identifier; never reused.").required();
        row.text("name", replica.name, "Name in logs and in show replicas.").required();
        row.address("address", replica.address, "Address on which the replica listens.").required();
        row.text("region", replica.region, "Region of the replica.");
      });
  table.addresses(
      "store.seeds", store.options.seeds,
      "Addresses of the initial voters. If set, replicas bootstrap the cluster, join it and replace failed "
      "voters without an operator, and store.replicas should not be set.");
  table.integer<std::size_t>(
      "store.tolerated_losses", store.tolerated_losses, {0, 1'000},
      "Number of replicas that may be lost at the same time, including their disks. With store.seeds, the "
      "number of voters is twice this value plus one, from 3 to 9, if there are enough replicas.");
  table.integer<std::size_t>("store.spare_voters", store.options.spare_voters, {0, 8},
                             "Number of further voters while as many replicas are available. With two, the "
                             "quorum survives a loss and "
                             "another one before the first lost voter has been replaced.");
  table.integer<std::size_t>(
      "store.tolerated_zone_losses", store.options.tolerated_zone_losses, {0, 9},
      "Number of zones that may be lost at the same time. With store.seeds, the voters are spread over the "
      "zones so that a majority survives, and their number is at least twice this value plus one.");
  table.texts(
      "store.zones", store.zones,
      "All zones with their regions, each as zone=region. Evacuation orders for other zones are refused. "
      "If the list is empty, orders for any zone are accepted.");
  table.number(
      "store.rollout_exposure_share", store.options.rollout_exposure_share, {0, 1},
      "Maximum share of the requests of a service that a version may get before a roll-out promotes it.");
  table.integer<std::uint64_t>(
      "store.rollout_exposure_slack", store.options.rollout_exposure_slack, {0, 1'000'000},
      "Number of requests that a version may get in addition to store.rollout_exposure_share before its "
      "promotion.");
  table.number("store.quota_window_seconds", store.quota_window_seconds, {0.001, 3'600},
               "Length in seconds of the time windows in which the request quotas of tenants are enforced.");
  table.number(
      "store.quota_overshoot", store.options.quota.overshoot, {0, 10},
      "Share of its limit by which the requests of a tenant may exceed the limit in a quota window.");
  table.number("store.quota_slack", store.options.quota.slack, {0, 1e6},
               "Number of requests by which a tenant may exceed its limit in a quota window, in addition to "
               "store.quota_overshoot.");
  table.duration(
      "store.replace_silent_after", store.options.replace_silent_after, {milliseconds(100), hours(24)},
      "With store.seeds: time without a response after which a voter is replaced by a replica that has "
      "caught up.");
  table.flag("store.bootstrap", store.options.bootstrap,
             "True only on the first start of the initial voters. Remove it from the file afterwards.");
  table.text("store.bootstrap_salt", store.bootstrap_salt,
             "Salt of the bootstrap credential of the tenant mesh, in hexadecimal.");
  table.text("store.bootstrap_token_hash", store.bootstrap_token_hash,
             "SHA-256 of salt followed by token, in hexadecimal, as cometctl hash-token prints it. If not "
             "set, the bootstrap credential is disabled.");
}

void declareConsensus(settings::SettingsTable& table, consensus::ConsensusOptions& options) {
  table.duration(
      "store.election_timeout_min", options.election_timeout_min, {milliseconds(10), minutes(1)},
      "Minimum time without a leader before an election starts; at least three heartbeat intervals.");
  table.duration("store.election_timeout_max", options.election_timeout_max, {milliseconds(11), minutes(2)},
                 "Maximum time without a leader before an election starts.");
  table.duration("store.heartbeat_interval", options.heartbeat_interval, {milliseconds(1), seconds(20)},
                 "Interval between two heartbeats of the leader.");
  table.integer<std::size_t>("store.snapshot_after_log_bytes", options.snapshot_after_log_bytes,
                             {std::size_t{4} << 10U, std::size_t{1} << 30U},
                             "Size of the log in bytes after which a snapshot is taken.");
  table.integer<std::size_t>("store.segment_bytes", options.segment_bytes,
                             {std::size_t{4} << 10U, std::size_t{1} << 30U},
                             "Size in bytes after which a log file is closed and a new one is started.");
}

void declareCommands(settings::SettingsTable& table, StoreOptions& options) {
  table.duration(
      "store.command_time_limit", options.command_time_limit, {milliseconds(100), minutes(10)},
      "Timeout of a command, after which its outcome is reported as unknown, or as not_run if no log entry "
      "was written.");
  table.duration("store.status_time_limit", options.status_time_limit, {milliseconds(10), minutes(1)},
                 "Timeout of a query that waits for the responses of relays.");
  table.duration(
      "store.claim_time_limit", options.claim_time_limit, {seconds(1), hours(24)},
      "Time after which a claim in progress ends with an unknown outcome; must be longer than the longest "
      "request.");
  table.duration("store.repair_time_limit", options.repair_time_limit, {seconds(1), hours(24)},
                 "Maximum time that replace replica waits for the new replica to catch up.");
  table.duration("store.max_wait", options.max_wait, {seconds(1), hours(24)},
                 "Maximum time that a command may wait for a version to be in force, even if it requests a "
                 "longer wait.");
  table.duration("store.retry_after", options.retry_after, {milliseconds(1), minutes(1)},
                 "Delay after which operators and relays should retry a refused request.");
  table.duration("store.stop_time_limit", options.stop_time_limit, {milliseconds(0), minutes(1)},
                 "Maximum time that a planned stop waits for another replica to become leader.");
  table.integer<std::size_t>(
      "store.max_batches_in_flight", options.max_batches_in_flight, {1, 64},
      "Maximum number of log entries with commands in flight; later commands are batched into the next "
      "entry.");
  table.integer<std::size_t>("store.max_commands_per_batch", options.max_commands_per_batch, {1, 10'000},
                             "Maximum number of commands in one log entry.");
  table.integer<std::size_t>(
      "store.max_commands_waiting", options.max_commands_waiting, {1, 1'000'000},
      "Maximum number of commands waiting for a log entry; further commands are refused.");
}

void declareLinks(settings::SettingsTable& table, StoreOptions& options) {
  table.integer<std::size_t>("store.max_readers", options.max_readers, {1, 1'000},
                             "Maximum number of relays that are subscribed to the leader, one in each zone.");
  table.number("store.reader_join_rate", options.reader_join_rate, {0.1, 10'000},
               "Relay subscriptions accepted per second after the burst.");
  table.number("store.reader_join_burst", options.reader_join_burst, {1, 10'000},
               "Relay subscriptions accepted at once after a time without any.");
  table.duration("store.beat_interval", options.beat_interval, {milliseconds(10), minutes(1)},
                 "Interval between the heartbeats that inform relays that a quorum confirmed the leader.");
  table.duration("store.reconnect_minimum", options.reconnect_minimum, {milliseconds(1), minutes(1)},
                 "Initial upper bound of the random backoff before a connection to another replica.");
  table.duration("store.reconnect_maximum", options.reconnect_maximum, {milliseconds(1), minutes(1)},
                 "Maximum upper bound of the random backoff before a connection to another replica.");
}

std::vector<std::uint8_t> readHex(const std::string& key, const std::string& text) {
  std::vector<std::uint8_t> bytes;
  try {
    boost::algorithm::unhex(text, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    throw Error(ErrorKind::Invalid, key + " is not a valid hexadecimal string",
                "copy it from the output of cometctl hash-token");
  }
  return bytes;
}

void checkBootstrap(const StoreSettings& store) {
  const auto hash = readHex("store.bootstrap_token_hash", store.bootstrap_token_hash);
  const auto salt = readHex("store.bootstrap_salt", store.bootstrap_salt);
  const bool fits =
      hash.empty() || (hash.size() == config::kTokenHashBytes && salt.size() >= config::kMinSaltBytes);
  if (fits) return;
  throw Error(ErrorKind::Invalid, "store.bootstrap_token_hash or store.bootstrap_salt has the wrong length",
              "copy both from the output of cometctl hash-token");
}

void checkStore(const StoreSettings& store) {
  if (store.common.listen.host.empty()) {
    throw Error(ErrorKind::Invalid, "listen.address is not set",
                "set listen.address to an IP address and port");
  }
  if (store.common.data_folder.empty()) {
    throw Error(ErrorKind::Invalid, "data.folder is not set",
                "set data.folder to a folder that only this replica uses");
  }
  const bool has_seeds = !store.options.seeds.empty();
  if (has_seeds != (store.id == 0)) {
    throw Error(ErrorKind::Invalid, "exactly one of store.id and store.seeds must be set",
                "set store.seeds for replicas that join the cluster automatically, otherwise store.id");
  }
  const bool is_first_voter =
      has_seeds || std::any_of(store.replicas.begin(), store.replicas.end(),
                               [&](const ReplicaSettings& replica) { return replica.id == store.id; });
  if (store.options.bootstrap && !is_first_voter) {
    throw Error(ErrorKind::Invalid, "store.bootstrap is true, but store.replicas does not list store.id",
                "add this replica to store.replicas, or start it without store.bootstrap and add it with add "
                "replica");
  }
  checkBootstrap(store);
  StoreSettings copy = store;
  completeStoreOptions(copy);
  copy.options.check();
}

wire::ReplicaT toReplica(const ReplicaSettings& settings) {
  wire::ReplicaT replica;
  replica.id = settings.id;
  replica.name = settings.name;
  replica.address = settings.address.host;
  replica.port = settings.address.port;
  replica.region = settings.region;
  return replica;
}

}  // namespace

void declareStoreSettings(settings::SettingsTable& table, StoreSettings& store) {
  settings::declareCommonSettings(table, store.common);
  declareReplicas(table, store);
  declareConsensus(table, store.options.consensus);
  declareCommands(table, store.options);
  declareLinks(table, store.options);
  table.check([&store] { checkStore(store); });
}

void completeStoreOptions(StoreSettings& store) {
  if (store.advertise.host.empty()) store.advertise = store.common.listen;
  store.options.quota.window =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(store.quota_window_seconds));
  // Each lost zone may remove at least one voter, so fewer voters could not survive the loss of this many
  // zones however they are spread.
  const auto losses = std::max(store.tolerated_losses, store.options.tolerated_zone_losses);
  store.options.voters = std::clamp<std::size_t>(2 * losses + 1, kMinVoters, kMaxVoters);
  store.options.self = toReplica({store.id, store.name, store.advertise, store.common.region});
  store.options.self.zone = store.common.zone;
  store.options.zones = mesh::ZoneMap(store.zones);
  store.options.initial_voters.clear();
  for (const auto& replica : store.replicas) store.options.initial_voters.push_back(toReplica(replica));
  store.options.bootstrap_salt = readHex("store.bootstrap_salt", store.bootstrap_salt);
  store.options.bootstrap_token_hash = readHex("store.bootstrap_token_hash", store.bootstrap_token_hash);
}

}  // namespace cometstand::store
