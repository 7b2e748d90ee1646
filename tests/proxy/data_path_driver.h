#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "proxy/data_path.h"
#include "tests/proxy/objects.h"

namespace cometstand::proxy {

inline BackendResponsePointer makeResponse(unsigned status, HeaderFields headers = {}) {
  auto response = std::make_shared<BackendResponse>();
  response->status = status;
  response->headers = std::move(headers);
  response->body = "answer";
  return response;
}

inline BackendResponsePointer notRunResponse(const std::string& reason) {
  return makeResponse(503, {{std::string(kNotRunHeader), reason}});
}

/// A DataPath with a clock of its own, and its orders by kind.
class DataPathDriver {
 public:
  explicit DataPathDriver(const std::vector<ObjectPointer>& objects, DataPathOptions options = {},
                          std::uint64_t seed = 1)
      : path(options, seed) {
    path.setRouter(std::make_shared<Router>(objects), now);
  }

  RequestId call(const std::string& target, const std::string& key = "",
                 std::optional<Duration> time_left = {}) {
    auto message = std::make_shared<CallerRequest>();
    message->method = "GET";
    message->target = target;
    message->idempotency_key = key;
    message->time_left = time_left;
    return path.onRequest(message, now);
  }

  /// @return the orders of that kind since the last call for this kind.
  template <typename Order>
  std::vector<Order> take() {
    for (auto& order : path.takeOrders()) orders_.push_back(std::move(order));
    std::vector<Order> taken;
    std::erase_if(orders_, [&](auto& order) {
      auto* const wanted = std::get_if<Order>(&order);
      if (wanted != nullptr) taken.push_back(std::move(*wanted));
      return wanted != nullptr;
    });
    return taken;
  }

  /// The request's first byte leaves. @return whether it may.
  bool send(const SendOrder& order) { return path.beginSending(order.request, order.attempt); }

  void respond(const SendOrder& order, const BackendResponsePointer& response) {
    path.onResponse(order.request, order.attempt, response, now);
  }

  void fail(const SendOrder& order, AttemptFailure failure) {
    path.onAttemptFailed(order.request, order.attempt, failure, now);
  }

  /// Moves to the next timer and runs it. @return false if there is none.
  bool runTimer() {
    const auto due = path.nextTimer();
    if (due == TimePoint::max()) return false;
    now = std::max(now, due);
    path.onTimer(now);
    return true;
  }

  TimePoint now{std::chrono::hours(1)};
  DataPath path;

 private:
  std::vector<DataPathOrder> orders_;
};

}  // namespace cometstand::proxy
