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

/// Bounds of the voters of a cluster that keeps itself.
constexpr std::size_t kLeastVoters = 3;
constexpr std::size_t kMostVoters = 9;
constexpr std::uint64_t kMaxId = std::numeric_limits<std::int64_t>::max();

void declareReplicas(settings::SettingsTable& table, StoreSettings& store) {
  table.integer(
      "store.id", store.id, {0, kMaxId},
      "Identifier of this replica, from 1, never reused: a replica whose disk was lost gets a new one. Not "
      "given with store.seeds: the identifier is then drawn and kept in the data folder.");
  table.text("store.name", store.name, "Name of this replica, for logs and show replicas.").required();
  table.address(
      "store.advertise", store.advertise,
      "Where other replicas, relays and operators reach this replica; listen.address if not given.");
  table.rows<ReplicaSettings>(
      "store.replicas", store.replicas,
      "The first voters of the cluster, this replica included if it is one; also where a new replica answers "
      "to.",
      [](settings::SettingsTable& row, ReplicaSettings& replica) {
        row.integer("id", replica.id, {1, kMaxId}, "Identifier, never reused.").required();
        row.text("name", replica.name, "Name, for logs and show replicas.").required();
        row.address("address", replica.address, "Where it listens.").required();
        row.text("region", replica.region, "Its region.");
      });
  table.addresses(
      "store.seeds", store.options.seeds,
      "Where the first voters listen. With it, replicas form the cluster, join it and replace each other "
      "without an operator, and store.replicas is not given.");
  table.integer<std::size_t>(
      "store.tolerated_losses", store.tolerated_losses, {0, 1'000},
      "Replicas that may be lost at once, with their disks. With store.seeds, the cluster "
      "keeps twice as many voters and one more, from 3 to 9, as far as there are replicas.");
  table.integer<std::size_t>("store.tolerated_zone_losses", store.options.tolerated_zone_losses, {0, 9},
                             "Zones that may be lost at once. With store.seeds, voters are spread so that a "
                             "majority outlasts that, and there are at least twice as many and one more.");
  table.texts("store.zones", store.zones,
              "All zones with their regions, each as zone=region. Orders for other zones are refused; none "
              "if they are not known.");
  table.number("store.rollout_exposure_share", store.options.rollout_exposure_share, {0, 1},
               "Share of a service's requests that a version may get at most before a roll-out promotes it.");
  table.integer<std::uint64_t>("store.rollout_exposure_slack", store.options.rollout_exposure_slack,
                               {0, 1'000'000}, "Requests that such a version may get besides that share.");
  table.number("store.quota_window_seconds", store.quota_window_seconds, {0.001, 3'600},
               "Length in seconds of the windows in which tenants' requests are held to their limits.");
  table.number("store.quota_overshoot", store.options.quota.overshoot, {0, 10},
               "What tenants' requests may be beyond their limit in such a window, as a share of it.");
  table.number("store.quota_slack", store.options.quota.slack, {0, 1e6},
               "Requests that a tenant's may be beyond its limit in such a window besides that.");
  table.duration(
      "store.replace_silent_after", store.options.replace_silent_after, {milliseconds(100), hours(24)},
      "With store.seeds: a voter without an answer for this long gives its place to a replica that has "
      "caught up.");
  table.flag("store.bootstrap", store.options.bootstrap,
             "True only on the very first start of the first voters. Take it out of the file afterwards.");
  table.text("store.bootstrap_salt", store.bootstrap_salt,
             "Salt of the credential bootstrap of the tenant mesh, in hexadecimal.");
  table.text("store.bootstrap_token_hash", store.bootstrap_token_hash,
             "SHA-256 of salt followed by token, in hexadecimal, as cometctl hash-token prints it; none "
             "disables the "
             "credential bootstrap.");
}

void declareConsensus(settings::SettingsTable& table, consensus::ConsensusOptions& options) {
  table.duration("store.election_timeout_min", options.election_timeout_min, {milliseconds(10), minutes(1)},
                 "Shortest time without a leader before an election; at least three heartbeat intervals.");
  table.duration("store.election_timeout_max", options.election_timeout_max, {milliseconds(11), minutes(2)},
                 "Longest time without a leader before an election.");
  table.duration("store.heartbeat_interval", options.heartbeat_interval, {milliseconds(1), seconds(20)},
                 "Interval of a leader's heartbeats.");
  table.integer<std::size_t>("store.snapshot_after_log_bytes", options.snapshot_after_log_bytes,
                             {std::size_t{4} << 10U, std::size_t{1} << 30U},
                             "Bytes of log after which a snapshot is taken.");
  table.integer<std::size_t>("store.segment_bytes", options.segment_bytes,
                             {std::size_t{4} << 10U, std::size_t{1} << 30U},
                             "Bytes after which a log file is closed and the next one begun.");
}

void declareCommands(settings::SettingsTable& table, StoreOptions& options) {
  table.duration(
      "store.command_time_limit", options.command_time_limit, {milliseconds(100), minutes(10)},
      "Longest time that a command may take before its answer is unknown, or not_run if nothing was "
      "written.");
  table.duration("store.status_time_limit", options.status_time_limit, {milliseconds(10), minutes(1)},
                 "Longest time that a query waits for the relays' answers.");
  table.duration(
      "store.claim_time_limit", options.claim_time_limit, {seconds(1), hours(24)},
      "A claim that has been in progress for this long ends as unknown; set it longer than any request "
      "runs.");
  table.duration("store.repair_time_limit", options.repair_time_limit, {seconds(1), hours(24)},
                 "Longest time that replace replica waits for the new replica to catch up.");
  table.duration("store.max_wait", options.max_wait, {seconds(1), hours(24)},
                 "Longest wait for a version to be in force, whatever the command asks.");
  table.duration("store.retry_after", options.retry_after, {milliseconds(1), minutes(1)},
                 "When refused operators and relays should come back.");
  table.duration("store.stop_time_limit", options.stop_time_limit, {milliseconds(0), minutes(1)},
                 "Longest time that a planned stop waits for another leader.");
  table.integer<std::size_t>(
      "store.max_batches_in_flight", options.max_batches_in_flight, {1, 64},
      "Log entries of commands in flight at once; later commands share the next entry.");
  table.integer<std::size_t>("store.max_commands_per_batch", options.max_commands_per_batch, {1, 10'000},
                             "Commands in one log entry.");
  table.integer<std::size_t>("store.max_commands_waiting", options.max_commands_waiting, {1, 1'000'000},
                             "Commands waiting for their log entry; more are refused.");
}

void declareLinks(settings::SettingsTable& table, StoreOptions& options) {
  table.integer<std::size_t>("store.max_readers", options.max_readers, {1, 1'000},
                             "Relays that read the leader at once, one a zone.");
  table.number("store.reader_join_rate", options.reader_join_rate, {0.1, 10'000},
               "Readers admitted each second after the burst.");
  table.number("store.reader_join_burst", options.reader_join_burst, {1, 10'000},
               "Readers admitted at once after a quiet time.");
  table.duration("store.beat_interval", options.beat_interval, {milliseconds(10), minutes(1)},
                 "Interval of the beats that tell readers that a quorum confirmed the leader.");
  table.duration("store.reconnect_minimum", options.reconnect_minimum, {milliseconds(1), minutes(1)},
                 "Smallest ceiling of the random pause before a connect to another replica.");
  table.duration("store.reconnect_maximum", options.reconnect_maximum, {milliseconds(1), minutes(1)},
                 "Largest ceiling of the random pause before a connect to another replica.");
}

std::vector<std::uint8_t> readHex(const std::string& key, const std::string& text) {
  std::vector<std::uint8_t> bytes;
  try {
    boost::algorithm::unhex(text, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    throw Error(ErrorKind::Invalid, key + " is not hexadecimal",
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
                "set data.folder to a folder of this replica alone");
  }
  const bool has_seeds = !store.options.seeds.empty();
  if (has_seeds != (store.id == 0)) {
    throw Error(ErrorKind::Invalid, "either store.id or store.seeds is to be given",
                "give store.seeds for replicas that join by themselves, else store.id");
  }
  const bool is_first_voter =
      has_seeds || std::any_of(store.replicas.begin(), store.replicas.end(),
                               [&](const ReplicaSettings& replica) { return replica.id == store.id; });
  if (store.options.bootstrap && !is_first_voter) {
    throw Error(ErrorKind::Invalid, "store.bootstrap is true, but store.replicas does not list store.id",
                "list this replica, or start it without bootstrap and add it with add replica");
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
  // A zone takes at least one voter with it, so fewer voters outlast no such loss, however they are spread.
  const auto losses = std::max(store.tolerated_losses, store.options.tolerated_zone_losses);
  store.options.voters = std::clamp<std::size_t>(2 * losses + 1, kLeastVoters, kMostVoters);
  store.options.self = toReplica({store.id, store.name, store.advertise, store.common.region});
  store.options.self.zone = store.common.zone;
  store.options.zones = mesh::ZoneMap(store.zones);
  store.options.initial_voters.clear();
  for (const auto& replica : store.replicas) store.options.initial_voters.push_back(toReplica(replica));
  store.options.bootstrap_salt = readHex("store.bootstrap_salt", store.bootstrap_salt);
  store.options.bootstrap_token_hash = readHex("store.bootstrap_token_hash", store.bootstrap_token_hash);
}

}  // namespace cometstand::store
