#include "relay/prober.h"

#include <boost/json.hpp>
#include <utility>

#include "relay/http_get.h"

namespace cometstand::relay {

namespace json = boost::json;

namespace {

std::optional<wire::EndpointState> stateFromText(const json::string& text) {
  if (text == "cold") return wire::EndpointState::Cold;
  if (text == "live") return wire::EndpointState::Live;
  if (text == "leaving") return wire::EndpointState::Leaving;
  return std::nullopt;
}

/// @return the member as a whole number that is not negative, or nothing.
std::optional<std::uint64_t> numberMember(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  return number;
}

const json::string* textMember(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_string();
}

std::optional<MachineState> parseMachine(const json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) return std::nullopt;
  const auto* address = textMember(*object, "address");
  const auto* state = textMember(*object, "state");
  const auto port = numberMember(*object, "port");
  if (address == nullptr || state == nullptr || !port || *port > UINT16_MAX) return std::nullopt;
  return MachineState{{std::string(*address), static_cast<std::uint16_t>(*port)}, *state == "leaving"};
}

}  // namespace

ProbeResult parseHealth(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const auto* object = error ? nullptr : value.if_object();
  if (object == nullptr) return {};
  const auto* text = textMember(*object, "state");
  const auto state = text == nullptr ? std::nullopt : stateFromText(*text);
  const auto incarnation = numberMember(*object, "incarnation");
  if (!state || !incarnation) return {};
  return {true, *state, *incarnation};
}

std::vector<MachineState> parseMachines(const std::string& body) {
  std::vector<MachineState> machines;
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const auto* list = error ? nullptr : value.if_array();
  if (list == nullptr) return machines;
  for (const auto& item : *list) {
    if (auto machine = parseMachine(item)) machines.push_back(std::move(*machine));
  }
  return machines;
}

Prober::Prober(boost::asio::io_context& io, ProberOptions options, Handlers handlers)
    : io_(io), options_(std::move(options)), handlers_(std::move(handlers)), timer_(io) {}

void Prober::start() { beginRound(); }

void Prober::stop() {
  stopped_ = true;
  waiting_.clear();
  timer_.cancel();
}

void Prober::beginRound() {
  if (stopped_) return;
  // A round that is not through yet goes on: no endpoint is asked twice at once.
  if (waiting_.empty() && in_flight_ == 0) {
    const auto targets = handlers_.targets();
    waiting_.assign(targets.begin(), targets.end());
    while (!waiting_.empty() && in_flight_ < options_.concurrency) probeNext();
    if (!targets.empty() && !options_.machine_list.host.empty()) askMachineList();
  }
  timer_.expires_after(options_.interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) beginRound();
  });
}

void Prober::probeNext() {
  const ProbeTarget target = waiting_.front();
  waiting_.pop_front();
  ++in_flight_;
  httpGet(io_, target.address, "/healthz", options_.time_limit,
          [this, id = target.endpoint](const std::optional<std::string>& body) {
            --in_flight_;
            if (stopped_) return;
            handlers_.on_result(id, body ? parseHealth(*body) : ProbeResult());
            if (!waiting_.empty() && in_flight_ < options_.concurrency) probeNext();
          });
}

void Prober::askMachineList() {
  httpGet(io_, options_.machine_list, "/machines", options_.time_limit,
          [this](const std::optional<std::string>& body) {
            if (body && !stopped_) handlers_.on_machines(parseMachines(*body));
          });
}

}  // namespace cometstand::relay
