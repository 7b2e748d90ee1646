#pragma once

#include "base/time.h"

namespace cometstand::proxy {

/// What other proxies put on one endpoint, as far as its load reports tell. Reports may lag or lie: they
/// fade with age, and those that contradict what this proxy saw itself count less from then on.
/// A plain state machine; loads are requests divided by slots.
class LoadEstimate {
 public:
  /// @param reported load as reported, 1 for all slots busy. @param own load from this proxy at that moment.
  void onReport(double reported, double own, TimePoint now);

  /// The endpoint shed a request. If its reports spoke of free slots, they lied.
  void onShed(TimePoint now);

  /// @return estimated load from others.
  double othersLoad(TimePoint now, Duration half_life) const;

  /// @return weight of the reports, from 0 to 1.
  double trust() const { return trust_; }

 private:
  void lowerTrust();

  double others_ = 0;
  double reported_ = 0;
  TimePoint reported_at_;
  bool has_report_ = false;
  /// A shed is an own sighting: it counts in full whatever the reports are worth.
  TimePoint shed_at_;
  bool has_shed_ = false;
  double trust_ = 1;
};

}  // namespace cometstand::proxy
