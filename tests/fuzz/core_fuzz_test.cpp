#include <catch2/catch.hpp>
#include <optional>

#include "base/error.h"
#include "base/event_log.h"
#include "config/token.h"
#include "proxy/control_core.h"
#include "relay/relay_core.h"
#include "runtime/data_folder.h"
#include "store/state_machine.h"
#include "store/store_core.h"
#include "tests/fuzz/mutator.h"
#include "tests/fuzz/sample_messages.h"

namespace cometstand::fuzz {
namespace {

using namespace std::chrono_literals;
using runtime::LinkId;

constexpr std::size_t kMaxLinks = 24;

/// Steps of one test; most steps deliver a message.
constexpr int kMaxSteps = 20 * kCases;

/// Plays the runner of one core: files are written at once, links open, and what comes over them is damaged.
class Driver {
 public:
  Driver(runtime::ProcessCore& core, std::uint64_t seed, bool listens = true)
      : core_(core), listens_(listens), mutator_(seed, {std::string(4, '\0'), std::string(4, '\xff')}) {
    core_.start(runtime::EmptyFileReader(), now_);
    carryOut();
  }

  void run() {
    const auto samples = sampleMessages();
    std::vector<std::string> payloads;
    payloads.reserve(samples.size());
    for (const auto& sample : samples) payloads.push_back(payloadOf(sample));
    for (int i = 0; i < kMaxSteps && delivered_ < kCases; ++i) {
      step(mutator_.pick(payloads));
      carryOut();
    }
  }

  int delivered() const { return delivered_; }

 private:
  void step(const std::string& payload) {
    // Without a link nothing can come in, so time passes faster.
    const Duration longest = links_.empty() ? Duration(1s) : Duration(2ms);
    now_ += mutator_.random().uniform(Duration(0), longest);
    if (core_.nextTimer() <= now_) core_.onTimer(now_);
    if (listens_ && links_.size() < kMaxLinks && mutator_.random().chance(0.3)) openIncoming();
    if (links_.empty()) return;
    const LinkId link = mutator_.pick(links_);
    const bool is_damaged = mutator_.random().chance(0.7);
    const auto envelope = decode(is_damaged ? mutator_.mutate(payload) : payload);
    if (!envelope) return;
    ++delivered_;
    core_.onMessage(link, *envelope, now_);
    if (mutator_.random().chance(0.05)) close(link);
  }

  static std::optional<wire::EnvelopeT> decode(const std::string& payload) {
    try {
      net::FrameDecoder decoder;
      decoder.append(frameOf(payload));
      return decoder.next();
    } catch (const Error&) {
      return std::nullopt;
    }
  }

  void openIncoming() {
    const LinkId link{runtime::kFirstIncomingLink + next_incoming_++};
    links_.push_back(link);
    core_.onLinkOpened(link, {}, now_);
  }

  void close(LinkId link) {
    const auto found = std::find(links_.begin(), links_.end(), link);
    if (found == links_.end()) return;
    links_.erase(found);
    core_.onLinkClosed(link, now_);
  }

  void carryOut() {
    for (int rounds = 0; rounds < 10; ++rounds) {
      const auto actions = core_.takeActions();
      for (const auto& write : actions.writes) core_.onFileWritten(write.id, now_);
      for (const auto& order : actions.connects) {
        links_.push_back(order.link);
        core_.onLinkOpened(order.link, {}, now_);
      }
      for (const LinkId link : actions.closes) close(link);
    }
  }

  runtime::ProcessCore& core_;
  bool listens_;
  Mutator mutator_;
  TimePoint now_{1h};
  std::vector<LinkId> links_;
  std::uint64_t next_incoming_ = 0;
  int delivered_ = 0;
};

TEST_CASE("no message makes a store replica fail", "[fuzz]") {
  setLogLevel(LogLevel::Error);
  store::StoreOptions options;
  options.self.id = 1;
  options.self.name = "s1";
  options.self.address = "127.0.0.1";
  options.self.port = 7001;
  options.initial_voters = {options.self};
  options.bootstrap = true;
  options.bootstrap_salt.assign(16, 7);
  options.bootstrap_token_hash = config::hashToken(options.bootstrap_salt, "bootstrap-token");
  store::StoreCore core(options, 41);
  Driver driver(core, 41);
  driver.run();
  CHECK(driver.delivered() == kCases);
  CHECK(core.leadership().role == consensus::Role::Leader);
  CHECK(core.stateMachine().catalog().version() > 0);
  core.checkInvariants();
}

TEST_CASE("no message makes a relay fail", "[fuzz]") {
  setLogLevel(LogLevel::Error);
  relay::RelayOptions options;
  options.name = "r1";
  options.zone = "krk-a";
  options.advertise = {"127.0.0.1", 7100};
  options.stores = {{"127.0.0.1", 7001}};
  options.peers = {{"127.0.0.1", 7101}};
  options.reconnect_minimum = 1ms;
  options.reconnect_maximum = 5ms;
  relay::RelayCore core(options);
  Driver driver(core, 42);
  driver.run();
  CHECK(driver.delivered() == kCases);
  CHECK(core.version() > 0);
}

TEST_CASE("no message makes a proxy's control side fail", "[fuzz]") {
  setLogLevel(LogLevel::Error);
  proxy::ControlOptions options;
  options.node = "n1";
  options.zone = "krk-a";
  options.relays = {{{"127.0.0.1", 7100}, "krk-a"}, {{"127.0.0.1", 7101}, "krk-a"}};
  options.reconnect_minimum = 1ms;
  options.reconnect_maximum = 5ms;
  proxy::ControlCore core(options);
  Driver driver(core, 43, false);
  driver.run();
  CHECK(driver.delivered() == kCases);
  CHECK(core.ready());
}

}  // namespace
}  // namespace cometstand::fuzz
