#include "proxy/admission_queue.h"

#include <algorithm>

namespace cometstand::proxy {
namespace {

/// Weight of the newest sample in the mean work time.
constexpr double kMeanWeight = 0.1;

std::size_t classIndex(wire::RequestClass request_class) { return static_cast<std::size_t>(request_class); }

}  // namespace

AdmissionQueue::ServiceState& AdmissionQueue::serviceState(const ServiceKey& service) {
  return tenants_[service.tenant].services[service.service];
}

void AdmissionQueue::setTenantLimit(const std::string& tenant, unsigned max_in_flight) {
  tenants_[tenant].max_in_flight = max_in_flight;
}

void AdmissionQueue::setCapacity(const ServiceKey& service, unsigned capacity) {
  serviceState(service).limit.setCapacity(capacity);
}

unsigned AdmissionQueue::limit(const ServiceKey& service) const {
  const auto tenant = tenants_.find(service.tenant);
  if (tenant == tenants_.end()) return 0;
  const auto found = tenant->second.services.find(service.service);
  return found == tenant->second.services.end() ? 0 : found->second.limit.limit();
}

bool AdmissionQueue::hasRoom(const TenantState& tenant) const {
  const auto most = tenant.max_in_flight != 0 ? tenant.max_in_flight : options_.tenant_max_in_flight;
  return in_flight_ < options_.max_in_flight && tenant.in_flight < most;
}

void AdmissionQueue::admit(const ServiceKey& service, RequestId id) {
  auto& tenant = tenants_[service.tenant];
  ++tenant.in_flight;
  ++tenant.services[service.service].in_flight;
  ++in_flight_;
  last_served_ = service.tenant;
  changes_.admitted.push_back(id);
}

void AdmissionQueue::refuse(RequestId id, RefusalReason reason, const ServiceState& service) {
  changes_.refused.push_back({id, reason, retryAfter(service)});
}

Duration AdmissionQueue::expectedWait(const ServiceState& service, std::size_t classes) {
  std::size_t ahead = 1;
  for (std::size_t index = 0; index < classes; ++index) ahead += service.queues.at(index).size();
  return service.mean_work_time * static_cast<Duration::rep>(ahead) / service.limit.limit();
}

Duration AdmissionQueue::retryAfter(const ServiceState& service) {
  const auto base =
      std::clamp(expectedWait(service, kClasses), options_.minimum_retry_after, options_.maximum_retry_after);
  return random_.uniform(base, 2 * base);
}

void AdmissionQueue::offer(const AdmissionRequest& request, TimePoint now) {
  auto& tenant = tenants_[request.service.tenant];
  auto& service = tenant.services[request.service.service];
  const bool nothing_waits = std::all_of(service.queues.begin(), service.queues.end(),
                                         [](const auto& queue) { return queue.empty(); });
  if (nothing_waits && hasRoom(tenant) && service.in_flight < service.limit.limit()) {
    admit(request.service, request.id);
    return;
  }
  const auto index = classIndex(request.request_class);
  if (now + expectedWait(service, index + 1) + service.mean_work_time > request.deadline) {
    refuse(request.id, RefusalReason::WaitTooLong, service);
    return;
  }
  const bool full = tenant.queued >= options_.tenant_max_queued;
  if (full && !displaceFor(tenant, request.request_class)) {
    refuse(request.id, RefusalReason::QueueFull, service);
    return;
  }
  ++tenant.queued;
  service.queues.at(index).push_back(request.id);
  waiting_.emplace(request.id, request);
  deadlines_.emplace(request.deadline, request.id);
  // The service may have room although others of it wait: for example after its capacity rose.
  admitWaiting();
}

bool AdmissionQueue::displaceFor(TenantState& tenant, wire::RequestClass request_class) {
  for (std::size_t index = kClasses - 1; index > classIndex(request_class); --index) {
    for (auto& [name, service] : tenant.services) {
      auto& queue = service.queues.at(index);
      if (queue.empty()) continue;
      const RequestId newest = queue.back();
      dequeue(newest);
      refuse(newest, RefusalReason::Displaced, service);
      return true;
    }
  }
  return false;
}

void AdmissionQueue::dequeue(RequestId id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  const auto& request = found->second;
  auto& tenant = tenants_[request.service.tenant];
  auto& queue = tenant.services[request.service.service].queues.at(classIndex(request.request_class));
  queue.erase(std::remove(queue.begin(), queue.end(), id), queue.end());
  --tenant.queued;
  deadlines_.erase({request.deadline, id});
  waiting_.erase(found);
}

bool AdmissionQueue::admitOneOf(const std::string& name, TenantState& tenant) {
  if (tenant.queued == 0 || !hasRoom(tenant)) return false;
  for (std::size_t index = 0; index < kClasses; ++index) {
    // The request that has waited longest; identifiers rise with time.
    const std::string* chosen = nullptr;
    RequestId oldest{};
    for (const auto& [service_name, service] : tenant.services) {
      const auto& queue = service.queues.at(index);
      if (queue.empty() || service.in_flight >= service.limit.limit()) continue;
      if (chosen != nullptr && oldest < queue.front()) continue;
      chosen = &service_name;
      oldest = queue.front();
    }
    if (chosen == nullptr) continue;
    dequeue(oldest);
    admit({name, *chosen}, oldest);
    return true;
  }
  return false;
}

void AdmissionQueue::admitWaiting() {
  if (waiting_.empty()) return;
  std::size_t without_success = 0;
  auto next = tenants_.upper_bound(last_served_);
  while (without_success < tenants_.size()) {
    if (next == tenants_.end()) next = tenants_.begin();
    without_success = admitOneOf(next->first, next->second) ? 0 : without_success + 1;
    ++next;
  }
}

void AdmissionQueue::release(const ServiceKey& key, WorkResult result, Duration work_time, TimePoint now) {
  auto& tenant = tenants_[key.tenant];
  auto& service = tenant.services[key.service];
  if (result == WorkResult::Success) service.limit.onSuccess(service.in_flight);
  if (result == WorkResult::Overload) service.limit.onOverload(options_.limit, now);
  if (service.in_flight > 0) --service.in_flight;
  if (tenant.in_flight > 0) --tenant.in_flight;
  if (in_flight_ > 0) --in_flight_;
  if (result != WorkResult::Neutral) {
    const auto mean = service.mean_work_time;
    const auto step = std::chrono::duration_cast<Duration>((work_time - mean) * kMeanWeight);
    service.mean_work_time = mean == Duration::zero() ? work_time : mean + step;
  }
  onTimer(now);
}

void AdmissionQueue::remove(RequestId id) { dequeue(id); }

void AdmissionQueue::onTimer(TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId id = deadlines_.begin()->second;
    const ServiceKey service = waiting_.at(id).service;
    dequeue(id);
    refuse(id, RefusalReason::DeadlinePassed, serviceState(service));
  }
  admitWaiting();
}

TimePoint AdmissionQueue::nextTimer() const {
  return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
}

}  // namespace cometstand::proxy
