// Tests the assignment of requests to tenants and the enforcement of the tenants' request limits.
#include "mesh/tenant_table.h"
#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

class TenantFixture : public SidecarFixture {
 public:
  TenantFixture() {
    configure(1, makeTenantConfiguration());
    auto beat = makeHeartbeat("a", 1);
    beat.slots = 10;
    core.onHeartbeat(beat, now);
    step();
  }

  /// Returns a configuration with the tenant "free", which has no limit, and "bound", which has one.
  static wire::MeshConfigurationT makeTenantConfiguration(const std::string& free_key = "free-key") {
    auto configuration = makeConfiguration();
    configuration.requires_key = true;
    configuration.tenants = {makeTenant("free", free_key, 0), makeTenant("bound", "bound-key", 100)};
    auto open = std::make_shared<wire::MeshRouteT>(*configuration.routes.front());
    open->name = "open";
    open->path_prefix = "/open/";
    open->is_public = true;
    configuration.routes.push_back(open);
    return configuration;
  }

  static std::shared_ptr<wire::MeshTenantT> makeTenant(const std::string& name, const std::string& key,
                                                       double rate) {
    auto tenant = std::make_shared<wire::MeshTenantT>();
    tenant->name = name;
    tenant->key_digests.push_back(*mesh::writeDigest(mesh::digestOfKey(key)));
    tenant->priority = 1;
    tenant->requests_per_second = rate;
    return tenant;
  }

  CallId sendCall(const std::optional<std::string>& key, const std::string& path = "/read/x",
                  std::optional<Duration> deadline = std::nullopt) {
    Call call;
    call.host = "shop.example";
    call.deadline = deadline;
    if (key) call.key = mesh::digestOfKey(*key);
    call.request.target = path;
    call.request.method = "GET";
    call.request.request_id = "request";
    const CallId id{++last_call_};
    core.onCall(id, std::move(call), now);
    step();
    return id;
  }
  CallOutcome outcomeOf(CallId id) { return callers.answers.at(id).outcome; }
  bool isPending(CallId id) const { return !callers.answers.contains(id); }

  /// @return the requests for tokens that were sent to the store since the last call; drops other sent
  /// messages.
  std::vector<wire::QuotaRequestT> takeQuotaRequests() {
    std::vector<wire::QuotaRequestT> quota_requests;
    for (const auto& item : std::exchange(sent, {})) {
      if (const auto* quota_request = item.message->body.AsQuotaRequest())
        quota_requests.push_back(*quota_request);
    }
    return quota_requests;
  }
  void grant(const wire::QuotaRequestT& quota_request, std::uint32_t granted,
             std::uint32_t retry_after_ms = 0, std::uint64_t generation = 3) {
    wire::QuotaGrantT store_reply;
    store_reply.sequence = quota_request.sequence;
    store_reply.generation = generation;
    store_reply.valid_ms = 2'000;
    auto share = std::make_shared<wire::QuotaShareT>();
    share->tenant = "bound";
    share->granted = granted;
    share->retry_after_ms = retry_after_ms;
    store_reply.shares.push_back(share);
    deliver(kStore, store_reply);
  }

 private:
  std::uint64_t last_call_ = 0;
};

}  // namespace

TEST_CASE_METHOD(TenantFixture, "a request with a known key runs for the tenant that holds the key",
                 "[tenant]") {
  sendCall("free-key");
  REQUIRE(target.orders.size() == 1);
  CHECK(target.orders.front().request->tenant == "free");
}

TEST_CASE_METHOD(TenantFixture, "a request without a key of a tenant is not run", "[tenant]") {
  const auto key = GENERATE(as<std::optional<std::string>>(), std::nullopt, "", "other", "free");
  const auto id = sendCall(key);
  CHECK(outcomeOf(id) == CallOutcome::UnknownKey);
  CHECK(target.orders.empty());
}

TEST_CASE_METHOD(TenantFixture,
                 "a public route accepts all requests and assigns those with a known key to its tenant",
                 "[tenant]") {
  sendCall(std::nullopt, "/open/x");
  sendCall("other", "/open/x");
  sendCall("free-key", "/open/x");
  REQUIRE(target.orders.size() == 3);
  CHECK(target.orders[0].request->tenant.empty());
  CHECK(target.orders[1].request->tenant.empty());
  CHECK(target.orders[2].request->tenant == "free");
}

TEST_CASE_METHOD(TenantFixture, "a key that was removed from the configuration is refused", "[tenant]") {
  configure(2, makeTenantConfiguration("new-key"));
  CHECK(outcomeOf(sendCall("free-key")) == CallOutcome::UnknownKey);
  sendCall("new-key");
  CHECK(target.orders.size() == 1);
}

TEST_CASE("a sidecar without a configuration answers as not run instead of as an unknown key", "[tenant]") {
  SidecarFixture sidecar;
  Call call;
  call.host = "shop.example";
  call.request.target = "/read/x";
  sidecar.core.onCall(CallId{1}, std::move(call), sidecar.now);
  CHECK(sidecar.callers.answers.at(CallId{1}).outcome == CallOutcome::NotRun);
}

TEST_CASE_METHOD(TenantFixture, "a request of a tenant with a limit waits for a token", "[tenant]") {
  takeQuotaRequests();
  const auto id = sendCall("bound-key");
  CHECK(target.orders.empty());
  const auto quota_requests = takeQuotaRequests();
  REQUIRE(quota_requests.size() == 1);
  CHECK(quota_requests.front().needs.front()->need == 1);
  grant(quota_requests.front(), 1);
  CHECK(target.orders.size() == 1);
  CHECK(isPending(id));
}

TEST_CASE_METHOD(TenantFixture,
                 "tokens for a request that arrives during a token request are requested after the grant",
                 "[tenant]") {
  takeQuotaRequests();
  sendCall("bound-key");
  sendCall("bound-key");
  const auto first = takeQuotaRequests();
  REQUIRE(first.size() == 1);
  grant(first.front(), 1);
  CHECK(target.orders.size() == 1);
  const auto second = takeQuotaRequests();
  REQUIRE(second.size() == 1);
  CHECK(second.front().acknowledged == first.front().sequence);
  grant(second.front(), 1);
  CHECK(target.orders.size() == 2);
}

TEST_CASE_METHOD(TenantFixture, "a request that gets no token is refused with a retry delay and not run",
                 "[tenant]") {
  takeQuotaRequests();
  const auto id = sendCall("bound-key");
  grant(takeQuotaRequests().front(), 0, 700);
  REQUIRE(outcomeOf(id) == CallOutcome::OverQuota);
  CHECK(callers.answers.at(id).retry_after >= milliseconds(700));
  CHECK(callers.answers.at(id).retry_after <= milliseconds(1'400));
  // The next request is refused without another request to the leader.
  CHECK(outcomeOf(sendCall("bound-key")) == CallOutcome::OverQuota);
  CHECK(target.orders.empty());
}

TEST_CASE_METHOD(TenantFixture, "tokens expire after their validity", "[tenant]") {
  takeQuotaRequests();
  sendCall("bound-key");
  grant(takeQuotaRequests().front(), 3);
  REQUIRE(target.orders.size() == 1);
  now += milliseconds(1'999);
  sendCall("bound-key");
  CHECK(target.orders.size() == 2);
  now += milliseconds(1);
  const auto id = sendCall("bound-key");
  CHECK(target.orders.size() == 2);
  CHECK(isPending(id));
}

TEST_CASE_METHOD(TenantFixture, "a token whose request has not run is used for another request", "[tenant]") {
  takeQuotaRequests();
  sendCall("bound-key");
  grant(takeQuotaRequests().front(), 1);
  REQUIRE(target.orders.size() == 1);
  RunResult result;
  result.reply.outcome = wire::ForwardOutcome::NotRun;
  result.reply.reason = wire::NotRunReason::Full;
  core.onRunResult(target.orders.front().id, result, now);
  step();
  sendCall("bound-key");
  CHECK(target.orders.size() == 2);
}

TEST_CASE_METHOD(TenantFixture, "while no leader answers, few requests wait for tokens and none runs",
                 "[tenant]") {
  takeQuotaRequests();
  const auto first = sendCall("bound-key");
  CHECK(isPending(first));
  advance(TenantQuota::kMaxTokenWait);
  CHECK(outcomeOf(first) == CallOutcome::OverQuota);
  advance(milliseconds(300));
  std::size_t refused_at_once = 0;
  for (int i = 0; i < 20; ++i) {
    if (!isPending(sendCall("bound-key"))) ++refused_at_once;
  }
  CHECK(refused_at_once >= 15);
  CHECK(target.orders.empty());
}

TEST_CASE_METHOD(TenantFixture,
                 "a token request to a store that is not the leader is repeated to the leader that it names",
                 "[tenant]") {
  announceStores({{kStore, "zone-a"}, {kOtherPeer, "zone-b"}});
  takeQuotaRequests();
  sendCall("bound-key");
  const auto quota_request = takeQuotaRequests().front();
  wire::QuotaGrantT store_reply;
  store_reply.sequence = quota_request.sequence;
  store_reply.leader = std::make_shared<wire::NetworkEndpointT>();
  store_reply.leader->host = kOtherPeer.host;
  store_reply.leader->port = kOtherPeer.port;
  deliver(kStore, store_reply);
  advance(milliseconds(20));
  const auto link = links.at(kOtherPeer);
  const auto is_requested = std::any_of(sent.begin(), sent.end(), [link](const auto& item) {
    return item.link == link && item.message->body.AsQuotaRequest() != nullptr;
  });
  CHECK(is_requested);
}

TEST_CASE_METHOD(TenantFixture, "a caller that disconnects while waiting for a token uses none", "[tenant]") {
  takeQuotaRequests();
  const auto id = sendCall("bound-key");
  const auto quota_request = takeQuotaRequests().front();
  core.onCallerGone(id, now);
  grant(quota_request, 1);
  CHECK(target.orders.empty());
  sendCall("bound-key");
  CHECK(target.orders.size() == 1);
}

TEST_CASE_METHOD(TenantFixture, "the tenant's priority takes precedence over the route's", "[tenant]") {
  auto configuration = makeTenantConfiguration();
  configuration.tenants.front()->priority = 0;
  configuration.tenants.back()->requests_per_second = 0;
  configure(2, configuration);
  sendCall("bound-key", "/write/x");
  sendCall("free-key", "/read/x");
  sendCall(std::nullopt, "/open/x");
  REQUIRE(target.orders.size() == 3);
  CHECK(target.orders[1].request->priority < target.orders[0].request->priority);
  CHECK(target.orders[2].request->priority < target.orders[1].request->priority);
}

// Guards against the end of the process when the wait for a token outlasts the deadline of its request.
TEST_CASE_METHOD(TenantFixture, "a request whose deadline passes while it waits for a token ends once",
                 "[tenant]") {
  takeQuotaRequests();
  const auto id = sendCall("bound-key", "/read/x", milliseconds(GENERATE(1, 5, 20)));
  const auto quota_request = takeQuotaRequests().front();
  const bool is_granted_late = GENERATE(false, true);
  advance(TenantQuota::kMaxTokenWait - milliseconds(1));
  CHECK(outcomeOf(id) == CallOutcome::NotRun);
  if (is_granted_late) grant(quota_request, 0, 1);
  advance(milliseconds(300));
  CHECK(target.orders.empty());
  CHECK(core.callsInFlight() == 0);
}

// Guards against tokens that are requested for requests that have ended.
TEST_CASE_METHOD(TenantFixture, "no token is requested for a request whose deadline has passed", "[tenant]") {
  takeQuotaRequests();
  sendCall("bound-key", "/read/x", milliseconds(5));
  const auto first = takeQuotaRequests();
  REQUIRE(first.size() == 1);
  advance(milliseconds(10));
  sendCall("bound-key");
  grant(first.front(), 0);
  const auto second = takeQuotaRequests();
  REQUIRE(second.size() == 1);
  CHECK(second.front().needs.front()->need == 1);
}

// Guards against indexes of requests that keep an entry of one that has ended, by whatever way it ended.
TEST_CASE_METHOD(TenantFixture, "requests end in any order of deadlines, grants, results and lost callers",
                 "[tenant]") {
  RandomSource random(GENERATE(range(1, 201)));
  const auto pick = [&random](std::uint64_t end) { return random.uniform(std::uint64_t{0}, end - 1); };
  std::vector<CallId> calls;
  std::vector<wire::QuotaRequestT> unanswered;
  for (int step_number = 0; step_number < 200; ++step_number) {
    const auto event = pick(6);
    if (event == 0) {
      const auto deadline = milliseconds(1 + pick(120));
      calls.push_back(sendCall(pick(8) == 0 ? "free-key" : "bound-key", "/read/x", deadline));
    } else if (event == 1 && !unanswered.empty()) {
      grant(unanswered.back(), static_cast<std::uint32_t>(pick(3)), static_cast<std::uint32_t>(pick(2)));
      unanswered.clear();
    } else if (event == 2 && !calls.empty()) {
      core.onCallerGone(calls.at(pick(calls.size())), now);
      step();
    } else if (event == 3 && !target.orders.empty()) {
      RunResult result;
      result.reply.outcome = pick(2) == 0 ? wire::ForwardOutcome::Answered : wire::ForwardOutcome::NotRun;
      core.onRunResult(target.orders.at(pick(target.orders.size())).id, result, now);
      step();
    } else {
      advance(milliseconds(pick(40)));
    }
    for (auto& request : takeQuotaRequests()) unanswered.push_back(std::move(request));
  }
  advance(std::chrono::seconds(2));
  CHECK(core.callsInFlight() == 0);
}

}  // namespace cometstand::sidecar::test
