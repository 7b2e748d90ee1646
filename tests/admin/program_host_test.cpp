#include "admin/program_host.h"

#include <unistd.h>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "tests/admin/http_get.h"

namespace cometstand::admin {
namespace {

namespace http = boost::beast::http;

constexpr auto kTestTimeLimit = std::chrono::seconds(30);

/// Stops when it is told to, or by itself on its first timer.
class TestCore : public runtime::ProcessCore {
 public:
  explicit TestCore(bool stops_itself = false) : stops_itself_(stops_itself) {}

  void start(const runtime::FileReader& /*files*/, TimePoint now) override {
    if (stops_itself_) timer_ = now;
  }
  void onLinkOpened(runtime::LinkId, const runtime::PeerIdentity&, TimePoint) override {}
  void onLinkClosed(runtime::LinkId, TimePoint) override {}
  void onMessage(runtime::LinkId, const wire::EnvelopeT&, TimePoint) override {}
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint) override { stopped_ = true; }
  TimePoint nextTimer() const override { return timer_; }
  runtime::Actions takeActions() override { return {}; }
  void beginStop(TimePoint) override { stopped_ = true; }
  bool stopped() const override { return stopped_; }

 private:
  bool stops_itself_;
  bool stopped_ = false;
  TimePoint timer_ = TimePoint::max();
};

class TestPages : public AdminPages {
 public:
  Health readiness() const override { return ready ? Health{} : Health{false, "no view yet"}; }
  void addMetrics(MetricSet& metrics) const override {
    metrics.counter("cometstand_test_total", "Things counted.", 3, {{"kind", "a \"quoted\" one"}});
    metrics.counter("cometstand_test_total", "", 4, {{"kind", "other"}});
    LatencyHistogram histogram;
    for (const int time : {1, 3, 20'000}) histogram.note(std::chrono::milliseconds(time));
    metrics.histogram("cometstand_test_seconds", "Times.", histogram);
  }

  std::atomic<bool> ready = false;
};

settings::CommonSettings loopbackSettings() {
  settings::CommonSettings common;
  common.log_level = "error";
  common.listen = {"127.0.0.1", 0};
  common.admin = {"127.0.0.1", 0};
  common.tls.enabled = false;
  return common;
}

/// A settings file that the test writes.
class SettingsFixture {
 public:
  SettingsFixture() { write("one"); }
  ~SettingsFixture() { std::filesystem::remove(path_); }
  SettingsFixture(const SettingsFixture&) = delete;
  SettingsFixture& operator=(const SettingsFixture&) = delete;

  void write(const std::string& name) const { std::ofstream(path_) << "name = \"" << name << "\"\n"; }
  const std::string& path() const { return path_; }

 private:
  std::string path_ =
      (std::filesystem::temp_directory_path() / ("cometstand-reload-" + std::to_string(::getpid()) + ".toml"))
          .string();
};

/// Runs the host in a thread of its own, until a planned stop.
class RunningHost {
 public:
  explicit RunningHost(ProgramHost& host) : host_(host), thread_([this] { exit_code_ = host_.run(); }) {}
  ~RunningHost() { stop(); }
  RunningHost(const RunningHost&) = delete;
  RunningHost& operator=(const RunningHost&) = delete;

  int stop() {
    if (thread_.joinable()) {
      boost::asio::post(host_.io(), [this] { host_.requestStop("test"); });
      thread_.join();
    }
    return exit_code_;
  }

 private:
  ProgramHost& host_;
  int exit_code_ = -1;
  std::thread thread_;
};

TEST_CASE("the admin pages tell what is so at that moment", "[admin]") {
  TestCore core;
  TestPages pages;
  overload::MemoryBudget memory(std::numeric_limits<std::size_t>::max());
  ProgramHost host("test", loopbackSettings(), core, pages, memory);
  RunningHost running(host);
  const auto address = host.adminAddress();

  CHECK(get(address, "/live").result() == http::status::ok);
  const auto not_ready = get(address, "/ready");
  CHECK(not_ready.result() == http::status::service_unavailable);
  CHECK(not_ready.body() == "no view yet\n");
  CHECK_THAT(get(address, "/metrics").body(), Catch::Contains("cometstand_ready 0\n"));
  pages.ready = true;
  CHECK(get(address, "/ready").result() == http::status::ok);

  const auto metrics = get(address, "/metrics").body();
  CHECK_THAT(metrics, Catch::Contains("cometstand_ready 1\n"));
  CHECK_THAT(metrics, Catch::Contains("# TYPE cometstand_test_total counter\n"
                                      "cometstand_test_total{kind=\"a \\\"quoted\\\" one\"} 3\n"
                                      "cometstand_test_total{kind=\"other\"} 4\n"));
  CHECK_THAT(metrics, Catch::Contains("process_resident_memory_bytes"));
  CHECK_THAT(metrics, Catch::Contains("# TYPE cometstand_test_seconds histogram\n"
                                      "cometstand_test_seconds_count 3\n"
                                      "cometstand_test_seconds_sum 20.004\n"
                                      "cometstand_test_seconds_bucket{le=\"0.001\"} 1\n"
                                      "cometstand_test_seconds_bucket{le=\"0.002\"} 1\n"
                                      "cometstand_test_seconds_bucket{le=\"0.005\"} 2\n"));
  CHECK_THAT(metrics, Catch::Contains("cometstand_test_seconds_bucket{le=\"+Inf\"} 3\n"));
}

TEST_CASE("the admin pages refuse what they do not serve", "[admin]") {
  TestCore core;
  const TestPages pages;
  overload::MemoryBudget memory(std::numeric_limits<std::size_t>::max());
  ProgramHost host("test", loopbackSettings(), core, pages, memory);
  const RunningHost running(host);
  const auto address = host.adminAddress();

  CHECK(get(address, "/secrets").result() == http::status::not_found);
  const auto post = askRaw(address, "POST /live HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  CHECK(post.result() == http::status::method_not_allowed);
  CHECK(post[http::field::allow] == "GET");
  CHECK(askRaw(address, "\x16\x03\x01 not HTTP\r\n\r\n").result() == http::status::bad_request);
  CHECK(get(address, "/live").result() == http::status::ok);
}

TEST_CASE("a planned stop runs its steps in order and then stops the core", "[admin]") {
  TestCore core;
  TestPages pages;
  pages.ready = true;
  overload::MemoryBudget memory(std::numeric_limits<std::size_t>::max());
  ProgramHost host("test", loopbackSettings(), core, pages, memory);
  std::string order;
  std::function<void()> finish_first;
  host.addStart([&] { order += "start "; });
  host.addStopStep([&](std::function<void()> done) {
    order += core.stopped() ? "too-late " : "first ";
    finish_first = std::move(done);
  });
  host.addStopStep([&](const std::function<void()>& done) {
    order += core.stopped() ? "too-late " : "second ";
    done();
  });
  RunningHost running(host);
  const auto address = host.adminAddress();
  CHECK(get(address, "/ready").result() == http::status::ok);
  REQUIRE(std::raise(SIGTERM) == 0);
  // The first step is not done yet: the process serves on, and says that it is stopping.
  const auto limit = SteadyClock::now() + kTestTimeLimit;
  while (get(address, "/ready").result() == http::status::ok && SteadyClock::now() < limit) {
    std::this_thread::yield();
  }
  CHECK(get(address, "/ready").result() == http::status::service_unavailable);
  CHECK(get(address, "/live").result() == http::status::ok);
  boost::asio::post(host.io(), [&] { finish_first(); });
  CHECK(running.stop() == 0);
  CHECK(order == "start first second ");
}

TEST_CASE("settings are read again on SIGHUP and when the file changes; a bad file loses nothing",
          "[admin]") {
  const SettingsFixture file;
  settings::SettingsSource source(file.path(), {});
  std::mutex mutex;
  std::string name;
  const auto load = [&] {
    std::string read;
    settings::SettingsTable table;
    table.text("name", read, "Name.").required();
    source.load(table);
    const std::scoped_lock lock(mutex);
    name = read;
  };
  const auto await_name = [&](const std::string& expected) {
    const auto limit = SteadyClock::now() + kTestTimeLimit;
    while (SteadyClock::now() < limit) {
      {
        const std::scoped_lock lock(mutex);
        if (name == expected) return true;
      }
      std::this_thread::yield();
    }
    return false;
  };
  TestCore core;
  const TestPages pages;
  overload::MemoryBudget memory(std::numeric_limits<std::size_t>::max());
  ProgramHost host("test", loopbackSettings(), core, pages, memory);
  host.setReload(source, load);
  RunningHost running(host);
  const auto address = host.adminAddress();
  // It answers, so the signal is handled by now.
  REQUIRE(get(address, "/live").result() == http::status::ok);

  REQUIRE(std::raise(SIGHUP) == 0);
  CHECK(await_name("one"));
  file.write("two");
  CHECK(await_name("two"));
  std::ofstream(file.path()) << "name = ";
  REQUIRE(std::raise(SIGHUP) == 0);
  CHECK(get(address, "/live").result() == http::status::ok);
  CHECK(await_name("two"));
  file.write("three");
  CHECK(await_name("three"));
  CHECK(running.stop() == 0);
}

TEST_CASE("a core that stops by itself ends the program", "[admin]") {
  TestCore core(true);
  const TestPages pages;
  overload::MemoryBudget memory(std::numeric_limits<std::size_t>::max());
  ProgramHost host("test", loopbackSettings(), core, pages, memory);
  boost::asio::steady_timer limit(host.io(), kTestTimeLimit);
  bool limit_passed = false;
  limit.async_wait([&](boost::system::error_code error) {
    limit_passed = !error;
    host.io().stop();
  });
  CHECK(host.run() == 0);
  CHECK_FALSE(limit_passed);
}

}  // namespace
}  // namespace cometstand::admin
