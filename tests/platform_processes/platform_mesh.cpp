#include "platform_processes/platform_mesh.h"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>

#include "base/error.h"
#include "platform/names.h"
#include "rehearsal/fleet/member.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {

using rehearsal::HttpAnswer;
using rehearsal::HttpQuestion;
using rehearsal::waitUntil;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kRedirect = 307;
constexpr unsigned kUnavailable = 503;
constexpr const char* kOneRoute = R"(
  "routes":{"all":{"host":"shop.example","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,
                   "priority":1,"service":"shop","max_attempts":2}},
  "services":{"shop":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";
/// Callers at each sidecar. With the pause they ask for hundreds a second, where a cold target bears 14.
constexpr std::size_t kCallersPerZone = 4;
constexpr Duration kCallerPause = std::chrono::milliseconds(10);

}  // namespace

TemporaryFolder::TemporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "platform_processes.XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr)
    throw Error(ErrorKind::InputOutput, "no temporary folder can be made", "make room in it");
  path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  // An exception ends the test: the logs may tell why.
  if (std::uncaught_exceptions() > 0) {
    fmt::print("kept: {}\n", path_.string());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

PlatformMesh::PlatformMesh(std::size_t sidecars, Duration work_time, unsigned sidecar_memory_mb,
                           TargetAnswers answers)
    : sidecar_memory_mb_(sidecar_memory_mb),
      link_port_(io_),
      control_port_(io_),
      ready_port_(io_),
      caller_port_(io_),
      target_port_(io_),
      sidecar_processes_(sidecars) {
  for (std::size_t sidecar = 0; sidecar < sidecars; ++sidecar) {
    targets_.emplace_back(io_, TargetPlan{"i-" + zoneName(sidecar),
                                          zoneName(sidecar % kZones),
                                          {sidecarHost(sidecar), target_port_.port()},
                                          {sidecarHost(sidecar), control_port_.port()},
                                          work_time,
                                          answers == TargetAnswers::StandIn});
  }
  for (std::size_t store = 0; store < kStores; ++store) startStore(store, true);
  for (std::size_t sidecar = 0; sidecar < sidecars; ++sidecar) startSidecar(sidecar);
  for (auto& target : targets_) target.start();
  thread_ = std::thread([this] { io_.run(); });
}

PlatformMesh::~PlatformMesh() {
  io_.stop();
  thread_.join();
}

std::string PlatformMesh::zoneName(std::size_t zone) { return fmt::format("zone-{}", zone + 1); }

/// The process's id makes the addresses those of this run alone.
std::string PlatformMesh::host(std::size_t number) const {
  constexpr unsigned kMachineBits = 7;
  constexpr unsigned kByteBits = 8;
  constexpr unsigned kByteMask = 0xFF;
  const auto bits = (static_cast<unsigned>(::getpid()) << kMachineBits) | static_cast<unsigned>(number);
  return fmt::format("127.{}.{}.{}", (bits >> (2 * kByteBits)) & kByteMask, (bits >> kByteBits) & kByteMask,
                     bits & kByteMask);
}

/// Stores that are added take the addresses after those of the sidecars.
std::string PlatformMesh::storeHost(std::size_t store) const {
  return host(1 + store + (store < kStores ? 0 : sidecarCount()));
}

HttpAnswer PlatformMesh::ask(const std::string& host, const rehearsal::ReservedPort& port,
                             const HttpQuestion& question) const {
  const boost::asio::ip::tcp::endpoint server(boost::asio::ip::make_address(host), port.port());
  return rehearsal::askOverHttp(server, question).value_or(HttpAnswer());
}

HttpAnswer PlatformMesh::askStore(std::size_t store, const HttpQuestion& question) const {
  return ask(storeHost(store), control_port_, question);
}

unsigned PlatformMesh::order(const HttpQuestion& question, std::size_t store) const {
  unsigned status = 0;
  waitUntil("a store takes the order", [&] {
    auto answer = askStore(store++ % storeCount(), question);
    if (answer.status == kRedirect) {
      const std::string_view location = answer.location;
      constexpr std::string_view kScheme = "http://";
      const auto end = location.find(':', kScheme.size());
      const auto leader = location.substr(kScheme.size(), end - kScheme.size());
      answer = ask(std::string(leader), control_port_, question);
    }
    status = answer.status;
    return status != 0 && status != kRedirect && status != kUnavailable;
  });
  return status;
}

std::size_t PlatformMesh::waitForLeader() const {
  std::size_t store = 0;
  waitUntil("a store leads", [&] {
    store = (store + 1) % storeCount();
    return askStore(store, {"GET", "", kConfigGetPath, "", {}}).status == kOk;
  });
  return store;
}

std::string PlatformMesh::readConfiguration() const {
  return askStore(waitForLeader(), {"GET", "", kConfigGetPath, "", {}}).body;
}

std::size_t PlatformMesh::addStore() {
  store_processes_.emplace_back();
  startStore(storeCount() - 1, false);
  return storeCount() - 1;
}

void PlatformMesh::loseStoreDisk(std::size_t store) { std::filesystem::remove_all(storeFolder(store)); }

rehearsal::ProcessEnd PlatformMesh::stopStore(std::size_t store, Duration limit) {
  auto& process = store_processes_.at(store);
  process->sendSignal(SIGTERM);
  const auto end = process->waitForEnd(limit);
  process.reset();
  return end;
}

void PlatformMesh::waitForReadiness(std::size_t zone) const {
  waitUntil(zoneName(zone) + " is ready", [&] {
    return ask(sidecarHost(zone), ready_port_, {"GET", "", kReadinessPath, "", {}}).status == kOk;
  });
}

void PlatformMesh::restartSidecar(std::size_t zone) {
  sidecar_processes_.at(zone).reset();
  startSidecar(zone);
}

void PlatformMesh::restartStores(Duration pause) {
  for (auto& store : store_processes_) store.reset();
  rehearsal::pauseFor(pause);
  for (std::size_t store = 0; store < kStores; ++store) startStore(store, true);
}

void PlatformMesh::restartSidecars(bool with_stores, Duration pause) {
  for (auto& sidecar : sidecar_processes_) sidecar->sendSignal(SIGKILL);
  if (with_stores) {
    for (auto& store : store_processes_) store->sendSignal(SIGKILL);
  }
  for (auto& sidecar : sidecar_processes_) sidecar.reset();
  if (with_stores) {
    restartStores(pause);
  } else {
    rehearsal::pauseFor(pause);
  }
  for (std::size_t zone = 0; zone < sidecarCount(); ++zone) startSidecar(zone);
}

void PlatformMesh::signalStores(int signal) {
  for (auto& store : store_processes_) store->sendSignal(signal);
}

PlatformMesh::Endpoint PlatformMesh::callerEndpoint(std::size_t zone) const {
  return {boost::asio::ip::make_address(sidecarHost(zone)), caller_port_.port()};
}

PlatformMesh::Endpoint PlatformMesh::readyEndpoint(std::size_t zone) const {
  return {boost::asio::ip::make_address(sidecarHost(zone)), ready_port_.port()};
}

PlatformMesh::Endpoint PlatformMesh::controlEndpoint(std::size_t zone) const {
  return {boost::asio::ip::make_address(sidecarHost(zone)), control_port_.port()};
}

PlatformMesh::Endpoint PlatformMesh::targetEndpoint(std::size_t zone) const {
  return {boost::asio::ip::make_address(sidecarHost(zone)), target_port_.port()};
}

PlatformMesh::Endpoint PlatformMesh::linkEndpoint(std::size_t zone) const {
  return {boost::asio::ip::make_address(sidecarHost(zone)), link_port_.port()};
}

PlatformMesh::Endpoint PlatformMesh::storeEndpoint(std::size_t store) const {
  return {boost::asio::ip::make_address(storeHost(store)), control_port_.port()};
}

PlatformMesh::Endpoint PlatformMesh::storeLinkEndpoint(std::size_t store) const {
  return {boost::asio::ip::make_address(storeHost(store)), link_port_.port()};
}

std::vector<MeshProcess> PlatformMesh::processes() {
  std::vector<MeshProcess> all;
  for (std::size_t store = 0; store < storeCount(); ++store) {
    const auto& process = store_processes_.at(store);
    if (process != nullptr)
      all.push_back({fmt::format("store-{}", store + 1), process->id(), storeHost(store)});
  }
  for (std::size_t zone = 0; zone < sidecarCount(); ++zone) {
    all.push_back(
        {fmt::format("sidecar-{}", zone + 1), sidecar_processes_.at(zone)->id(), sidecarHost(zone)});
  }
  return all;
}

std::string PlatformMesh::logs() const {
  std::string text;
  for (const auto& entry : std::filesystem::directory_iterator(folder_.path())) {
    if (entry.path().extension() != ".log") continue;
    std::ifstream file(entry.path());
    text.append(std::istreambuf_iterator<char>(file), {});
  }
  return text;
}

unsigned PlatformMesh::call(std::size_t zone, const std::map<std::string, std::string>& fields) {
  const auto id = fmt::format("request-{}", ++calls_);
  HttpQuestion question{"GET", kTestHost, "/", "", {{kRequestId, id}, {kDeadline, "8000"}}};
  question.fields.insert(fields.begin(), fields.end());
  return ask(sidecarHost(zone), caller_port_, question).status;
}

std::string PlatformMesh::seedList() const {
  std::string seeds;
  std::size_t count = 0;
  for (std::size_t store = 0; store < storeCount() && count < kStores; ++store) {
    if (removed_stores_.contains(store)) continue;
    seeds += fmt::format("{}\"{}:{}\"", count++ == 0 ? "" : ",", storeHost(store), control_port_.port());
  }
  return seeds;
}

std::string PlatformMesh::commonSettings(const std::string& host, std::size_t zone,
                                         unsigned memory_mb) const {
  return fmt::format(
      "zone = \"{0}\"\nregion = \"region\"\nlisten.address = \"{1}:{2}\"\ntls.enabled = false\n"
      "platform.control = \"{1}:{3}\"\nplatform.seeds = [{4}]\noverload.memory_mb = {5}\n",
      zoneName(zone), host, link_port_.port(), control_port_.port(), seedList(), memory_mb);
}

std::unique_ptr<rehearsal::ChildProcess> PlatformMesh::startProgram(const std::string& name,
                                                                    const char* program,
                                                                    const std::string& settings) const {
  const auto file = folder_.path() / (name + ".toml");
  const auto zones = fmt::format("zones = [\"{}=region\",\"{}=region\"]\n", zoneName(0), zoneName(1));
  rehearsal::writeTextFile(file, settings + zones);
  return std::make_unique<rehearsal::ChildProcess>(rehearsal::ProgramStart{
      name, program, {"--settings", file.string()}, folder_.path() / (name + ".log"), {}});
}

std::filesystem::path PlatformMesh::storeFolder(std::size_t store) const {
  return folder_.path() / fmt::format("store-{}", store + 1);
}

void PlatformMesh::startStore(std::size_t store, bool bootstrap) {
  const auto name = fmt::format("store-{}", store + 1);
  const auto settings = commonSettings(storeHost(store), store % kZones, kStoreMemoryMb) +
                        fmt::format("data.folder = \"{}\"\n[store]\nname = \"{}\"\nbootstrap = {}\n",
                                    storeFolder(store).string(), name, bootstrap);
  store_processes_.at(store) = startProgram(name, STORE_PROGRAM, settings);
}

void PlatformMesh::startSidecar(std::size_t zone) {
  const auto name = fmt::format("sidecar-{}", zone + 1);
  const auto host = sidecarHost(zone);
  const auto settings =
      commonSettings(host, zone % kZones, sidecar_memory_mb_) +
      fmt::format(
          "platform.ready = \"{0}:{1}\"\nplatform.callers = \"{0}:{2}\"\nplatform.target = \"{0}:{3}\"\n"
          "platform.service = \"{4}\"\n[sidecar]\nnode = \"{5}\"\nanswer_credit = 8192\n",
          host, ready_port_.port(), caller_port_.port(), target_port_.port(), kTestService, name);
  sidecar_processes_.at(zone) = startProgram(name, SIDECAR_PROGRAM, settings);
}

std::string oneRouteConfiguration(unsigned version) {
  return fmt::format("{{\"version\":\"r{}\",", version) + kOneRoute;
}

void serveOneRoute(PlatformMesh& mesh) {
  if (mesh.order({"POST", "", kConfigPutPath, oneRouteConfiguration(1), {{kBaseVersion, "0"}}}) != kOk)
    throw Error(ErrorKind::Invalid, "the stores refused the configuration", "read their logs");
  for (std::size_t zone = 0; zone < mesh.sidecarCount(); ++zone) {
    mesh.target(zone).waitForHeartbeat();
    mesh.waitForReadiness(zone);
    waitUntil("the zone's target gets requests", [&] {
      mesh.call(zone);
      return !mesh.target(zone).arrivals().empty();
    });
  }
}

KeptConnections::KeptConnections(PlatformMesh& mesh) {
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) {
    const auto endpoint = mesh.callerEndpoint(zone);
    clients_.emplace_back(io_, runtime::Address{endpoint.address().to_string(), endpoint.port()});
    for (std::size_t caller = 0; caller < kCallersPerZone; ++caller) send(zone);
  }
  thread_ = std::thread([this] { io_.run(); });
}

KeptConnections::~KeptConnections() {
  io_.stop();
  thread_.join();
}

void KeptConnections::send(std::size_t zone) {
  web::Request request;
  request.version(11);
  request.method(boost::beast::http::verb::get);
  request.target("/");
  request.set(boost::beast::http::field::host, kTestHost);
  request.set(kRequestId, fmt::format("kept-{}", ++sends_));
  request.set(kDeadline, "1000");
  clients_.at(zone).send(
      web::SendId{sends_}, std::move(request), [](const web::Response&) { return true; },
      [this, zone](const web::SendResult& result) {
        const bool is_answered =
            result.outcome == web::SendOutcome::Answered && result.response.result_int() == kOk;
        if (is_answered) ++answered_;
        const auto timer = std::make_shared<boost::asio::steady_timer>(io_, kCallerPause);
        timer->async_wait([this, zone, timer](boost::system::error_code) { send(zone); });
      });
}

Press::Press(PlatformMesh& mesh) {
  for (std::size_t caller = 0; caller < kCallersPerZone * PlatformMesh::kZones; ++caller) {
    threads_.emplace_back([this, &mesh, zone = caller % PlatformMesh::kZones] {
      while (!stopping_) {
        mesh.call(zone);
        rehearsal::pauseFor(kCallerPause);
      }
    });
  }
}

Press::~Press() {
  stopping_ = true;
  for (auto& thread : threads_) thread.join();
}

}  // namespace cometstand::platform
