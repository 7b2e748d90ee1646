#include "sidecar/peer_links.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Links to one peer; the test determines the outcome of each connect.
class PeerLinksFixture {
 public:
  PeerLinksFixture() { links.add(kPeer, now); }

  /// Advances to the next connect. @return its order.
  runtime::ConnectOrder nextConnect() {
    now = std::max(now, links.nextTimer());
    links.onTimer(now);
    const auto connects = actions.take().connects;
    REQUIRE(connects.size() == 1);
    return connects.front();
  }

  static inline const runtime::Address kPeer{"10.0.0.2", 7000};
  TimePoint now{seconds(100)};
  runtime::ActionQueue actions;
  RandomSource random{1};
  PeerLinks links{actions, random};
};

}  // namespace

// Guards against a reconnect that outlives its peer.
TEST_CASE_METHOD(PeerLinksFixture,
                 "a peer that is removed while it waits for its reconnect is not connected again",
                 "[sidecar]") {
  const auto order = nextConnect();
  links.onLinkClosed(order.link, now);
  links.remove(kPeer);
  CHECK(links.nextTimer() == TimePoint::max());
  now += seconds(10);
  links.onTimer(now);
  CHECK(actions.take().connects.empty());
}

// Sidecars that started 0.3 s before the machines of their stores lost the first SYN, and waited a second for
// the kernel to retransmit it.
TEST_CASE_METHOD(PeerLinksFixture, "a connect to an unresponsive peer times out early and is retried",
                 "[sidecar]") {
  Duration waited{};
  unsigned connects = 0;
  while (waited < seconds(1)) {
    const auto order = nextConnect();
    waited += order.time_limit;
    now += order.time_limit;
    ++connects;
    links.onLinkClosed(order.link, now);
  }
  CHECK(connects >= 3);
}

TEST_CASE_METHOD(PeerLinksFixture, "the connect timeout grows up to its limit and is reset after a success",
                 "[sidecar]") {
  auto order = nextConnect();
  const Duration first = order.time_limit;
  for (int i = 0; i < 10; ++i) {
    links.onLinkClosed(order.link, now);
    const Duration before = order.time_limit;
    order = nextConnect();
    CHECK(order.time_limit >= before);
  }
  CHECK(order.time_limit == runtime::kConnectTimeLimit);
  links.onLinkOpened(order.link);
  links.onLinkClosed(order.link, now);
  CHECK(nextConnect().time_limit == first);
}

TEST_CASE("first connects are made in ordered batches, which do not delay reconnects", "[sidecar]") {
  constexpr std::size_t kPeers = 100;
  runtime::ActionQueue actions;
  RandomSource random{1};
  PeerLinks links{actions, random};
  TimePoint now{seconds(100)};
  const auto address_of = [](std::size_t number) {
    return runtime::Address{"10.0.1." + std::to_string(number), 7000};
  };
  for (std::size_t i = 0; i < kPeers; ++i) links.add(address_of(kPeers - i), now);
  links.remove(address_of(kPeers - 1));
  links.onTimer(now);
  const auto first = actions.take().connects;
  REQUIRE(first.size() == PeerLinks::kConnectBatchSize);
  CHECK(first.front().address == address_of(kPeers));
  CHECK(first.back().address == address_of(kPeers - PeerLinks::kConnectBatchSize));
  // A closed link is reconnected after its own backoff, independently of the batches.
  links.onLinkClosed(first.front().link, now);
  std::size_t connects = first.size();
  const TimePoint begin = now;
  while (links.nextTimer() != TimePoint::max()) {
    now = std::max(now, links.nextTimer());
    links.onTimer(now);
    connects += actions.take().connects.size();
  }
  CHECK(connects == kPeers);
  CHECK(now - begin <=
        kPeers / PeerLinks::kConnectBatchSize * PeerLinks::kConnectBatchInterval + milliseconds(60));
}

}  // namespace cometstand::sidecar::test
