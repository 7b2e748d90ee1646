// On whose behalf requests come, and how a sidecar keeps to tenants' limits.
#include "mesh/tenant_table.h"
#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

class TenantFixture : public SidecarFixture {
 public:
  TenantFixture() {
    configure(1, makeTenantConfiguration());
    auto beat = makeBeat("a", 1);
    beat.slots = 10;
    core.onHeartbeat(beat, now);
    step();
  }

  /// "free" has no limit, "bound" has one.
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

  CallId ask(const std::optional<std::string>& key, const std::string& path = "/read/x") {
    Call call;
    call.host = "shop.example";
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
  bool isOpen(CallId id) const { return !callers.answers.contains(id); }

  /// @return the questions for tokens that were sent since the last call.
  std::vector<wire::QuotaRequestT> takeQuestions() {
    std::vector<wire::QuotaRequestT> questions;
    for (const auto& item : std::exchange(sent, {})) {
      if (const auto* question = item.message->body.AsQuotaRequest()) questions.push_back(*question);
    }
    return questions;
  }
  void grant(const wire::QuotaRequestT& question, std::uint32_t granted, std::uint32_t retry_after_ms = 0,
             std::uint64_t generation = 3) {
    wire::QuotaGrantT answer;
    answer.sequence = question.sequence;
    answer.generation = generation;
    answer.valid_ms = 2'000;
    auto share = std::make_shared<wire::QuotaShareT>();
    share->tenant = "bound";
    share->granted = granted;
    share->retry_after_ms = retry_after_ms;
    answer.shares.push_back(share);
    say(kStore, answer);
  }

 private:
  std::uint64_t last_call_ = 0;
};

}  // namespace

TEST_CASE_METHOD(TenantFixture, "a request of a known key runs in its tenant's name", "[tenant]") {
  ask("free-key");
  REQUIRE(target.orders.size() == 1);
  CHECK(target.orders.front().request->tenant == "free");
}

TEST_CASE_METHOD(TenantFixture, "a request without a key that a tenant holds does not run", "[tenant]") {
  const auto key = GENERATE(as<std::optional<std::string>>(), std::nullopt, "", "other", "free");
  const auto id = ask(key);
  CHECK(outcomeOf(id) == CallOutcome::UnknownKey);
  CHECK(target.orders.empty());
}

TEST_CASE_METHOD(TenantFixture, "a public route takes all, in the name of a tenant if the key is one's",
                 "[tenant]") {
  ask(std::nullopt, "/open/x");
  ask("other", "/open/x");
  ask("free-key", "/open/x");
  REQUIRE(target.orders.size() == 3);
  CHECK(target.orders[0].request->tenant.empty());
  CHECK(target.orders[1].request->tenant.empty());
  CHECK(target.orders[2].request->tenant == "free");
}

TEST_CASE_METHOD(TenantFixture, "a key that was taken away opens nothing from then on", "[tenant]") {
  configure(2, makeTenantConfiguration("new-key"));
  CHECK(outcomeOf(ask("free-key")) == CallOutcome::UnknownKey);
  ask("new-key");
  CHECK(target.orders.size() == 1);
}

TEST_CASE("a sidecar without a configuration does not judge keys", "[tenant]") {
  SidecarFixture sidecar;
  Call call;
  call.host = "shop.example";
  call.request.target = "/read/x";
  sidecar.core.onCall(CallId{1}, std::move(call), sidecar.now);
  CHECK(sidecar.callers.answers.at(CallId{1}).outcome == CallOutcome::NotRun);
}

TEST_CASE_METHOD(TenantFixture, "a request of a tenant with a limit waits for a token", "[tenant]") {
  takeQuestions();
  const auto id = ask("bound-key");
  CHECK(target.orders.empty());
  const auto questions = takeQuestions();
  REQUIRE(questions.size() == 1);
  CHECK(questions.front().needs.front()->need == 1);
  grant(questions.front(), 1);
  CHECK(target.orders.size() == 1);
  CHECK(isOpen(id));
}

TEST_CASE_METHOD(TenantFixture, "a request that comes while one asks is asked for after that", "[tenant]") {
  takeQuestions();
  ask("bound-key");
  ask("bound-key");
  const auto first = takeQuestions();
  REQUIRE(first.size() == 1);
  grant(first.front(), 1);
  CHECK(target.orders.size() == 1);
  const auto second = takeQuestions();
  REQUIRE(second.size() == 1);
  CHECK(second.front().acknowledged == first.front().sequence);
  grant(second.front(), 1);
  CHECK(target.orders.size() == 2);
}

TEST_CASE_METHOD(TenantFixture, "without a token a request is refused, not run, with a time to come back",
                 "[tenant]") {
  takeQuestions();
  const auto id = ask("bound-key");
  grant(takeQuestions().front(), 0, 700);
  REQUIRE(outcomeOf(id) == CallOutcome::OverQuota);
  CHECK(callers.answers.at(id).retry_after >= milliseconds(700));
  CHECK(callers.answers.at(id).retry_after <= milliseconds(1'400));
  // The next one need not ask again.
  CHECK(outcomeOf(ask("bound-key")) == CallOutcome::OverQuota);
  CHECK(target.orders.empty());
}

TEST_CASE_METHOD(TenantFixture, "tokens are void after their time", "[tenant]") {
  takeQuestions();
  ask("bound-key");
  grant(takeQuestions().front(), 3);
  REQUIRE(target.orders.size() == 1);
  now += milliseconds(1'999);
  ask("bound-key");
  CHECK(target.orders.size() == 2);
  now += milliseconds(1);
  const auto id = ask("bound-key");
  CHECK(target.orders.size() == 2);
  CHECK(isOpen(id));
}

TEST_CASE_METHOD(TenantFixture, "a token whose request has not run serves another one", "[tenant]") {
  takeQuestions();
  ask("bound-key");
  grant(takeQuestions().front(), 1);
  REQUIRE(target.orders.size() == 1);
  RunResult result;
  result.reply.outcome = wire::ForwardOutcome::NotRun;
  result.reply.reason = wire::NotRunReason::Full;
  core.onRunResult(target.orders.front().id, result, now);
  step();
  ask("bound-key");
  CHECK(target.orders.size() == 2);
}

TEST_CASE_METHOD(TenantFixture, "while no leader answers, few requests wait and none runs", "[tenant]") {
  takeQuestions();
  const auto first = ask("bound-key");
  CHECK(isOpen(first));
  pass(TenantQuota::kMostWait);
  CHECK(outcomeOf(first) == CallOutcome::OverQuota);
  pass(milliseconds(300));
  std::size_t refused_at_once = 0;
  for (int i = 0; i < 20; ++i) {
    if (!isOpen(ask("bound-key"))) ++refused_at_once;
  }
  CHECK(refused_at_once >= 15);
  CHECK(target.orders.empty());
}

TEST_CASE_METHOD(TenantFixture, "a store that does not lead names the leader, which is asked next",
                 "[tenant]") {
  tellStores({{kStore, "zone-a"}, {kOtherPeer, "zone-b"}});
  takeQuestions();
  ask("bound-key");
  const auto question = takeQuestions().front();
  wire::QuotaGrantT answer;
  answer.sequence = question.sequence;
  answer.leader = std::make_shared<wire::NetworkEndpointT>();
  answer.leader->host = kOtherPeer.host;
  answer.leader->port = kOtherPeer.port;
  say(kStore, answer);
  pass(milliseconds(20));
  const auto link = links.at(kOtherPeer);
  const auto asked = std::any_of(sent.begin(), sent.end(), [link](const auto& item) {
    return item.link == link && item.message->body.AsQuotaRequest() != nullptr;
  });
  CHECK(asked);
}

TEST_CASE_METHOD(TenantFixture, "a caller that leaves while it waits takes no token", "[tenant]") {
  takeQuestions();
  const auto id = ask("bound-key");
  const auto question = takeQuestions().front();
  core.onCallerGone(id, now);
  grant(question, 1);
  CHECK(target.orders.empty());
  ask("bound-key");
  CHECK(target.orders.size() == 1);
}

TEST_CASE_METHOD(TenantFixture, "the more urgent tenant's request goes first, whatever the routes are",
                 "[tenant]") {
  auto configuration = makeTenantConfiguration();
  configuration.tenants.front()->priority = 0;
  configuration.tenants.back()->requests_per_second = 0;
  configure(2, configuration);
  ask("bound-key", "/write/x");
  ask("free-key", "/read/x");
  ask(std::nullopt, "/open/x");
  REQUIRE(target.orders.size() == 3);
  CHECK(target.orders[1].request->priority < target.orders[0].request->priority);
  CHECK(target.orders[2].request->priority < target.orders[1].request->priority);
}

}  // namespace cometstand::sidecar::test
