#include "proxy/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "proxy/proxy_pages.h"
#include "proxy/proxy_process.h"
#include "proxy/view_file.h"
#include "rehearsal/bench/claims_in_memory.h"
#include "rehearsal/standin/backend.h"
#include "rehearsal/standin/caller.h"
#include "tests/proxy/objects.h"
#include "view/view_builder.h"

namespace cometstand::proxy {
namespace {

namespace asio = boost::asio;
using rehearsal::Backend;
using rehearsal::BackendBehavior;
using rehearsal::Caller;
using rehearsal::CallOutcome;
using std::chrono::milliseconds;

/// A proxy between a caller and two back ends, over loopback in one thread.
struct Rig {
  Rig() {
    for (int index = 0; index < 2; ++index) {
      rehearsal::BackendOptions options;
      options.listen = {asio::ip::address_v4::loopback(), 0};
      options.service_time = {rehearsal::ServiceTimeShape::Constant, milliseconds(2), 0};
      options.linger_time = std::chrono::hours(1);
      options.seed = static_cast<std::uint64_t>(index) + 1;
      back_ends.push_back(std::make_unique<Backend>(io, options));
    }
    http.listen = {"127.0.0.1", 0};
    // Wide, so that a busy machine changes nothing.
    http.connect_limit = std::chrono::seconds(30);
    kind.deadline = std::chrono::seconds(30);
    caller_options.rate = 300;
    caller_options.duration = milliseconds(300);
  }

  std::shared_ptr<const Router> router() const {
    const auto service = std::const_pointer_cast<wire::ObjectT>(makeService("s", 2));
    for (std::size_t index = 0; index < back_ends.size(); ++index) {
      service->spec.AsServiceSpec()->endpoints[index]->port = back_ends[index]->address().port();
    }
    const auto route = makeRoute("s", [this](wire::RouteSpecT& spec) {
      spec.repeatable = kind.repeatable;
      spec.timeout_ms = static_cast<std::uint32_t>(ceilMilliseconds(kind.deadline));
    });
    return std::make_shared<const Router>(std::vector<ObjectPointer>{service, route});
  }

  /// Runs all requests to their outcome. @param at_half called in the middle of the arrivals.
  void run(const std::function<void(HttpServer&)>& at_half = {}) {
    kind.path = "/s";
    server = std::make_unique<HttpServer>(io, http, DataPathOptions(), 1, claims);
    claims.setServer(*server);
    server->setRouter(router());
    server->start();
    caller_options.servers = {
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(server->listenAddress().port)}};
    Caller caller(io, caller_options, {{kind}});
    for (const auto& back_end : back_ends) back_end->start();
    asio::steady_timer half(io, caller_options.duration / 2);
    half.async_wait([&](boost::system::error_code) {
      if (at_half) at_half(*server);
    });
    caller.whenDone([this] { io.stop(); });
    caller.start();
    io.run();
    report = caller.report();
    for (const auto& back_end : back_ends) executed.addJson(back_end->executedJson().at("requests"));
  }

  std::uint64_t count(CallOutcome outcome) const { return report.all().count(outcome); }

  void checkNothingRanTwice() const {
    for (const auto& [id, execution] : executed.executions()) CHECK(execution.begun <= 1);
  }

  asio::io_context io{1};
  HttpOptions http;
  rehearsal::ClaimsInMemory claims{io};
  std::vector<std::unique_ptr<Backend>> back_ends;
  rehearsal::CallerOptions caller_options;
  rehearsal::RequestKind kind;
  std::unique_ptr<HttpServer> server;
  rehearsal::CallerReport report;
  rehearsal::ExecutionRecord executed;
};

TEST_CASE("each caller gets the whole answer to its own request", "[http]") {
  Rig rig;
  rig.run();
  REQUIRE(rig.report.all().total() > 0);
  CHECK(rig.count(CallOutcome::Completed) == rig.report.all().total());
  rig.checkNothingRanTwice();
}

TEST_CASE("answers cut short are tried again where they may be, and never passed on", "[http]") {
  Rig rig;
  BackendBehavior behavior;
  behavior.fault_share = 0.2;
  SECTION("repeatable: truncated") {
    behavior.truncate_after = 50;
    rig.back_ends[0]->setBehavior(behavior);
    rig.run();
    CHECK(rig.server->metrics().retries > 0);
    CHECK(rig.count(CallOutcome::Completed) == rig.report.all().total());
  }
  SECTION("not repeatable: truncated or reset") {
    rig.kind.repeatable = false;
    rig.kind.method = "POST";
    behavior.truncate_after = 50;
    rig.back_ends[0]->setBehavior(behavior);
    behavior.truncate_after.reset();
    behavior.reset_after = 0;
    rig.back_ends[1]->setBehavior(behavior);
    rig.run();
    CHECK(rig.count(CallOutcome::Unknown) > 0);
    CHECK(rig.count(CallOutcome::Unknown) + rig.count(CallOutcome::Completed) == rig.report.all().total());
    rig.checkNothingRanTwice();
  }
  SECTION("streamed: the caller's connection is aborted") {
    rig.caller_options.rate = 50;
    rig.kind.repeatable = false;
    rig.kind.answer_bytes = 2 * rig.http.max_buffered_response_bytes;
    behavior.fault_share = 1;
    behavior.truncate_after = rig.kind.answer_bytes - 1;
    for (const auto& back_end : rig.back_ends) back_end->setBehavior(behavior);
    rig.run();
    REQUIRE(rig.report.all().total() > 0);
    CHECK(rig.count(CallOutcome::Lost) == rig.report.all().total());
  }
}

TEST_CASE("a large answer is streamed whole", "[http]") {
  Rig rig;
  rig.caller_options.rate = 50;
  rig.kind.answer_bytes = 3 * rig.http.max_buffered_response_bytes;
  rig.run();
  CHECK(rig.count(CallOutcome::Completed) == rig.report.all().total());
}

TEST_CASE("a back end that leaves costs no request, and gets no more than it refused", "[http]") {
  Rig rig;
  rig.kind.repeatable = false;
  rig.kind.method = "POST";
  rig.run([&](HttpServer&) { rig.back_ends[0]->beginLeaving(); });
  CHECK(rig.count(CallOutcome::Completed) == rig.report.all().total());
  CHECK(rig.back_ends[0]->counters().begun_leaving == 0);
  // What was on its way when the first refusal came back, at most one for each slot.
  CHECK(rig.back_ends[0]->counters().arrived_leaving <= 6);
}

TEST_CASE("a planned stop of the proxy cuts nothing in flight", "[http]") {
  Rig rig;
  bool drained = false;
  rig.run([&](HttpServer& server) { server.beginDrain([&drained] { drained = true; }); });
  REQUIRE(rig.report.all().total() > 0);
  CHECK(rig.count(CallOutcome::Lost) == 0);
  CHECK(rig.count(CallOutcome::Completed) + rig.count(CallOutcome::Unreachable) == rig.report.all().total());
  rig.io.restart();
  while (!drained) REQUIRE(rig.io.run_one() > 0);
  CHECK(rig.server->dataPath().unsettled() == 0);
}

TEST_CASE("a connection that was made before the stop, and not yet accepted, is served", "[http]") {
  Rig rig;
  DataPathOptions options;
  options.drain_grace = milliseconds(0);
  HttpServer server(rig.io, rig.http, options, 1, rig.claims);
  server.setRouter(rig.router());
  server.start();
  rig.back_ends[0]->start();
  rig.back_ends[1]->start();
  asio::ip::tcp::socket client(rig.io);
  client.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(server.listenAddress().port)});
  asio::write(client, asio::buffer(std::string("GET /s HTTP/1.1\r\nHost: a\r\n\r\n")));
  bool drained = false;
  server.beginDrain([&drained] { drained = true; });
  while (!drained) REQUIRE(rig.io.run_one() > 0);
  std::string answer;
  asio::read_until(client, asio::dynamic_buffer(answer), "\r\n\r\n");
  CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
  CHECK_THAT(answer, Catch::Contains("Connection: close"));
}

TEST_CASE("a keyed request whose answer was lost is cleared up by its key, and runs once", "[http]") {
  Rig rig;
  rig.kind.repeatable = false;
  rig.kind.keyed = true;
  rig.kind.method = "POST";
  BackendBehavior behavior;
  behavior.reset_after = 0;
  behavior.fault_share = 0.3;
  rig.back_ends[0]->setBehavior(behavior);
  rig.run();
  CHECK(rig.count(CallOutcome::Unknown) > 0);
  CHECK(rig.count(CallOutcome::Completed) + rig.count(CallOutcome::Unknown) == rig.report.all().total());
  CHECK(rig.claims.states().size() == rig.report.all().total());
  for (const auto& [key, state] : rig.claims.states()) CHECK(state != wire::ClaimState::InProgress);
  rig.checkNothingRanTwice();
}

/// Writes the view of a node into its folder, as a proxy that ran before left it.
void storeView(const std::filesystem::path& folder, const std::vector<ObjectPointer>& objects) {
  view::ViewBuilder builder;
  for (const auto& object : objects) {
    auto change = std::make_shared<wire::ObjectChangeT>();
    change->key = std::make_shared<wire::ObjectKeyT>(*object->key);
    change->version = 1;
    change->object = std::make_shared<wire::ObjectT>(*object);
    builder.apply(change);
  }
  const auto bytes = encodeViewFile(*builder.finish(1));
  std::ofstream file((folder / kViewFile).string(), std::ios::binary);
  file.write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

TEST_CASE("a proxy serves from its own disk without any relay, and refuses what needs a claim", "[process]") {
  Rig rig;
  std::string folder = (std::filesystem::temp_directory_path() / "cometstand-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  auto node = makeObject(wire::ObjectKind::Node, "", "n");
  wire::NodeSpecT spec;
  spec.tenants = {"t"};
  node->spec.Set(std::move(spec));
  auto tenant = makeObject(wire::ObjectKind::Tenant, "t", "");
  tenant->spec.Set(wire::TenantSpecT());
  const auto service = std::const_pointer_cast<wire::ObjectT>(makeService("s", 1));
  service->spec.AsServiceSpec()->endpoints[0]->port = rig.back_ends[0]->address().port();
  ProxySettings settings;
  settings.control.node = "n";
  settings.common.data_folder = folder;
  settings.http.listen = {"127.0.0.1", 0};
  settings.data_path.drain_grace = rig.caller_options.duration;
  completeProxyOptions(settings, 1);
  rig.kind.path = "/s";
  bool ready = false;
  SECTION("with a view") {
    storeView(folder, {node, tenant, service, makeRoute("s")});
    ready = true;
  }
  SECTION("without one") {}
  ProxyProcess process(settings, 1);
  runtime::ProcessRunner runner(rig.io, process.core(), {{}, folder, nullptr});
  process.attach(rig.io, runner, [] {});
  runner.start();
  process.start();
  CHECK(process.ready() == ready);
  CHECK(ProxyPages(process).readiness().ok == ready);
  BackendBehavior behavior;
  // So slow that some requests are in work at any moment.
  behavior.slow_factor = 10;
  rig.back_ends[0]->setBehavior(behavior);
  rig.back_ends[0]->start();
  auto keyed = rig.kind;
  keyed.keyed = true;
  keyed.name = "keyed";
  rig.caller_options.servers = {
      {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(process.listenAddress().port)}};
  Caller caller(rig.io, rig.caller_options, {{rig.kind, keyed}});
  // A planned stop in the middle of the load cuts nothing.
  asio::steady_timer half(rig.io, rig.caller_options.duration / 2);
  half.async_wait([&](boost::system::error_code) { process.drain([&runner] { runner.beginStop(); }); });
  caller.start();
  rig.io.run();
  CHECK_FALSE(process.ready());
  CHECK(rig.back_ends[0]->counters().begun == rig.back_ends[0]->counters().finished);
  REQUIRE(caller.report().all().total() > caller.report().all().count(CallOutcome::Unreachable));
  for (const auto& record : caller.report().records()) {
    const bool served = ready && record.kind != "keyed";
    if (record.outcome == CallOutcome::Unreachable) continue;
    CHECK(record.outcome == (served ? CallOutcome::Completed : CallOutcome::NotRun));
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace cometstand::proxy
