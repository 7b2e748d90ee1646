#include "store/store_pages.h"

#include <string>

#include "admin/metric_set.h"

namespace cometstand::store {
namespace {

void addGauges(admin::MetricSet& set, const StoreMetrics& metrics) {
  const auto add = [&set](const char* name, const char* help, auto value) {
    set.gauge(std::string("cometstand_store_") + name, help, static_cast<double>(value));
  };
  add("is_leader", "1 if this replica is the leader, otherwise 0.", metrics.is_leader ? 1 : 0);
  add("term", "Current consensus term of this replica.", metrics.term);
  add("version", "Configuration version that this replica has applied.", metrics.version);
  add("catalog_bytes", "Total size of all configuration objects in bytes.", metrics.catalog_bytes);
  add("commit_index", "Index of the last committed log entry.", metrics.commit_index);
  add("readers", "Relays that are subscribed to this replica.", metrics.readers);
  add("answered_requests", "Responses to changes that are stored to answer retries of the same request.",
      metrics.answered_requests);
  add("claims_in_progress", "Claims in progress.", metrics.claims_in_progress);
  add("claims_finished", "Finished claims whose outcome is still stored.", metrics.claims_finished);
  add("commands_waiting", "Changes and claims waiting to be added to a log entry.", metrics.commands_waiting);
  add("zones_evacuated", "Zones under evacuation, whose targets get no requests.", metrics.zones_evacuated);
  add("leave_notices", "Incarnations of targets whose announced shutdown is stored.", metrics.leave_notices);
  add("voters", "Replicas in the quorum; 0 unless this replica leads.", metrics.voters);
  add("active_voters", "Voters that respond, with the leader; 0 unless this replica leads.",
      metrics.active_voters);
  add("learners_caught_up", "Replicas that can replace a voter; 0 unless this replica leads.",
      metrics.learners_caught_up);
  add("tolerable_voter_losses",
      "Active voters whose loss at this moment leaves a quorum; 0 unless this replica leads.",
      metrics.tolerable_voter_losses);
}

void addCommandCounters(admin::MetricSet& set, const StoreMetrics& metrics) {
  const auto add_outcome = [&set](const char* outcome, std::uint64_t value) {
    set.counter("cometstand_store_commands_total", "Responses to operator commands by outcome.",
                static_cast<double>(value), {{"outcome", outcome}});
  };
  add_outcome("completed", metrics.commands_completed);
  add_outcome("not_run", metrics.commands_not_run);
  add_outcome("unknown", metrics.commands_unknown);
}

void addCounters(admin::MetricSet& set, const StoreMetrics& metrics) {
  const auto add = [&set](const char* name, const char* help, std::uint64_t value) {
    set.counter(std::string("cometstand_store_") + name, help, static_cast<double>(value));
  };
  add("commands_forwarded_total", "Commands forwarded to the leader.", metrics.commands_forwarded);
  add("claims_answered_total", "Responses to requests that begin or end a claim.", metrics.claims_answered);
  add("claims_expired_total", "Claims ended with an unknown outcome because their holder stopped responding.",
      metrics.claims_expired);
  add("log_entries_proposed_total", "Log entries with commands that this replica has proposed.",
      metrics.log_entries_proposed);
  add("log_commands_proposed_total", "Changes and claims in the log entries that this replica has proposed.",
      metrics.log_commands_proposed);
  add("readers_admitted_total", "Subscriptions of relays that were accepted.", metrics.readers_admitted);
  add("readers_refused_total", "Subscriptions of relays that were refused.", metrics.readers_refused);
  add("deltas_made_total", "Configuration deltas created for relays; one may be sent to several relays.",
      metrics.deltas_made);
  add("snapshots_made_total",
      "Configuration snapshots created for relays; one may be sent to several relays.",
      metrics.snapshots_made);
  add("beats_sent_total", "Heartbeats sent to relays after a quorum confirmed the leader.",
      metrics.beats_sent);
  add("leaderships_lost_total", "Times that this replica lost leadership.", metrics.leaderships_lost);
}

}  // namespace

admin::Health StorePages::liveness() const {
  if (core_.leadership().role != consensus::Role::Failed) return {};
  return {false, "the disk failed: replace the disk and replace this replica by one with a new identifier"};
}

admin::Health StorePages::readiness() const {
  const auto leadership = core_.leadership();
  if (leadership.role == consensus::Role::Failed) return liveness();
  if (leadership.role == consensus::Role::Joining) {
    return {false,
            "the replica has not joined the cluster: add it with add replica, or start all initial voters"};
  }
  if (leadership.leader == 0) return {false, "no leader is known: check the other replicas and the network"};
  return {};
}

void StorePages::addMetrics(admin::MetricSet& metrics) const {
  const StoreMetrics values = core_.metrics();
  addGauges(metrics, values);
  addCommandCounters(metrics, values);
  addCounters(metrics, values);
}

}  // namespace cometstand::store
