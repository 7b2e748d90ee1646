#include "store/store_pages.h"

#include <string>

#include "admin/metric_set.h"

namespace cometstand::store {
namespace {

void addGauges(admin::MetricSet& set, const StoreMetrics& metrics) {
  const auto add = [&set](const char* name, const char* help, auto value) {
    set.gauge(std::string("cometstand_store_") + name, help, static_cast<double>(value));
  };
  add("is_leader", "1 if this replica leads.", metrics.is_leader ? 1 : 0);
  add("term", "Term of the consensus module.", metrics.term);
  add("version", "Version of the configuration that this replica applied.", metrics.version);
  add("catalog_bytes", "Bytes of all configuration objects.", metrics.catalog_bytes);
  add("commit_index", "Last committed index of the log.", metrics.commit_index);
  add("readers", "Relays that read from this replica.", metrics.readers);
  add("answered_requests", "Answers kept for resends of changes.", metrics.answered_requests);
  add("claims_in_progress", "Claims that are held.", metrics.claims_in_progress);
  add("claims_finished", "Finished claims that are kept.", metrics.claims_finished);
  add("commands_waiting", "Changes and claims that wait for the log.", metrics.commands_waiting);
  add("zones_evacuated", "Zones whose targets get no requests.", metrics.zones_evacuated);
}

void addCommandCounters(admin::MetricSet& set, const StoreMetrics& metrics) {
  const auto add_outcome = [&set](const char* outcome, std::uint64_t value) {
    set.counter("cometstand_store_commands_total", "Answers to operators by outcome.",
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
  add("commands_forwarded_total", "Commands passed on to the leader.", metrics.commands_forwarded);
  add("claims_answered_total", "Answers to claims and their ends.", metrics.claims_answered);
  add("claims_expired_total", "Claims ended as unknown because their holder was not heard of.",
      metrics.claims_expired);
  add("log_entries_proposed_total", "Log entries with commands that this replica appended.",
      metrics.log_entries_proposed);
  add("log_commands_proposed_total", "Changes and claims in these entries.", metrics.log_commands_proposed);
  add("readers_admitted_total", "Relays admitted as readers.", metrics.readers_admitted);
  add("readers_refused_total", "Relays refused as readers.", metrics.readers_refused);
  add("deltas_made_total", "Deltas made for readers; one may go to many.", metrics.deltas_made);
  add("snapshots_made_total", "Snapshots made for readers; one may go to many.", metrics.snapshots_made);
  add("beats_sent_total", "Quorum beats sent to readers.", metrics.beats_sent);
  add("leaderships_lost_total", "Times that this replica ceased to lead.", metrics.leaderships_lost);
}

}  // namespace

admin::Health StorePages::liveness() const {
  if (core_.leadership().role != consensus::Role::Failed) return {};
  return {false, "the disk failed: replace it and let a replica with a new id take this one's place"};
}

admin::Health StorePages::readiness() const {
  const auto leadership = core_.leadership();
  if (leadership.role == consensus::Role::Failed) return liveness();
  if (leadership.role == consensus::Role::Joining) {
    return {false,
            "the replica has not joined the cluster: add it with add replica, or start all first voters"};
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
