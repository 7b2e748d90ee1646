// The part of ControlCore that takes views, stores them, and puts them in force.
#include <algorithm>
#include <compare>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "proxy/control_core.h"
#include "proxy/control_events.h"
#include "proxy/view_file.h"
#include "view/view_builder.h"

namespace cometstand::proxy {
namespace {

bool deletesServices(const wire::ViewDeltaT& delta) {
  return std::any_of(delta.changes.begin(), delta.changes.end(), [](const auto& change) {
    return change->key->kind == wire::ObjectKind::Service && !change->object;
  });
}

}  // namespace

void ControlCore::recover(const runtime::FileReader& files) {
  const auto bytes = files.read(kViewFile);
  if (!bytes) return;
  try {
    const auto view = decodeViewFile(*bytes);
    if (view->nodeName() != options_.node) {
      throw Error(ErrorKind::Mismatch, "the stored view belongs to node " + view->nodeName(),
                  "give each proxy its own data folder");
    }
    current_ = view;
    raiseAsOf(view->version());
    listener_->onView(view);
  } catch (const Error& error) {
    logEvent(kViewFileDamaged, {{"reason", error.what()}});
  }
}

const view::View& ControlCore::newestView() const {
  // The pointer in current_ is held by the core until the next view is in force.
  return pending_.empty() ? *current_.load() : *pending_.back().view;
}

void ControlCore::onDelta(const wire::ViewDeltaT& delta) {
  if (delta.to_version <= newestView().version()) return;
  try {
    stage({view::applyDelta(newestView(), delta), delta.as_of, encodeViewDelta(delta), deletesServices(delta),
           std::nullopt});
  } catch (const Error& error) {
    logEvent(kViewRefused, {{"version", delta.to_version}, {"reason", error.what()}});
    reportView(wire::ViewResult::SnapshotNeeded);
  }
}

void ControlCore::onSnapshot(const wire::ViewSnapshotT& snapshot) {
  if (snapshot.version <= newestView().version()) return;
  try {
    auto view = view::applySnapshot(newestView(), snapshot);
    if (view->nodeName() != options_.node) {
      throw Error(ErrorKind::Mismatch, "the relay sent the view of node " + view->nodeName(),
                  "no action is needed: the proxy asks again");
    }
    stage({std::move(view), snapshot.as_of, {}, true, std::nullopt});
  } catch (const Error& error) {
    logEvent(kViewRefused, {{"version", snapshot.version}, {"reason", error.what()}});
    reportView(wire::ViewResult::SnapshotNeeded);
  }
}

void ControlCore::onBeat(const wire::ViewBeatT& beat, TimePoint now) {
  raiseRound(beat.term, beat.round, now);
  // A beat speaks for the view that the relay sent last; it counts once that one is in force.
  if (beat.view_version == currentView()->version() && ready()) {
    raiseAsOf(beat.as_of);
  } else if (!pending_.empty() && beat.view_version == newestView().version()) {
    pending_.back().as_of = std::max(pending_.back().as_of, beat.as_of);
  }
}

void ControlCore::onEndpointUpdate(const wire::EndpointUpdateT& update) {
  std::vector<EndpointRecordPointer> changed;
  for (const auto& record : update.records) {
    if (!record) continue;
    auto& known = endpoints_[view::endpointId(*record)];
    if (known && std::is_lteq(view::compareRecords(*record, *known))) continue;
    known = record;
    changed.push_back(record);
  }
  if (!changed.empty()) listener_->onEndpointRecords(changed);
}

/// Queues a checked view for the disk. A view that waits behind the one being written is skipped: its deltas
/// go to disk together with those of the new one.
void ControlCore::stage(PendingView next) {
  if (disk_failed_) return;
  if (pending_.size() > 1) {
    auto& skipped = pending_.back();
    const bool both_are_deltas = !skipped.deltas.empty() && !next.deltas.empty();
    if (both_are_deltas) {
      next.deltas.insert(next.deltas.begin(), skipped.deltas.begin(), skipped.deltas.end());
    } else {
      next.deltas.clear();
    }
    next.may_lose_services = next.may_lose_services || skipped.may_lose_services;
    pending_.pop_back();
  }
  pending_.push_back(std::move(next));
  writeNext();
}

void ControlCore::writeNext() {
  if (pending_.empty() || pending_.front().write) return;
  auto& front = pending_.front();
  auto order = view_file_.next(*front.view, std::move(front.deltas));
  front.write = actions_.write(kViewFile, order.mode, std::move(order.bytes));
}

void ControlCore::putInForce(const PendingView& pending) {
  current_ = pending.view;
  raiseAsOf(std::max(pending.as_of, pending.view->version()));
  if (pending.may_lose_services) pruneEndpoints(*pending.view);
  logEvent(kViewInForce, {{"version", pending.view->version()}, {"as_of", asOf()}});
  listener_->onView(pending.view);
  reportView(wire::ViewResult::Applied);
}

void ControlCore::pruneEndpoints(const view::View& view) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    return view.service(entry.first.tenant, entry.first.service) == nullptr;
  });
}

void ControlCore::reportView(wire::ViewResult result) {
  if (!serving_) return;
  wire::ViewReportT report;
  report.result = result;
  report.view_version =
      result == wire::ViewResult::Applied ? currentView()->version() : newestView().version();
  report.as_of = asOf();
  actions_.send(serving_->link, report, 0);
}

void ControlCore::raiseAsOf(std::uint64_t as_of) {
  if (as_of > as_of_) as_of_ = as_of;
}

}  // namespace cometstand::proxy
