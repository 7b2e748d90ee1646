#include "sidecar/link_share.h"

#include <catch2/catch.hpp>

#include "sidecar/round_trip_meter.h"

namespace cometstand::sidecar::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{seconds(100)};

}  // namespace

TEST_CASE("a share without a ceiling admits everything") {
  LinkShare share;
  for (int i = 0; i < 100; ++i) {
    CHECK(share.admits(1'000'000, TransferPriority::Low, kStart));
    share.take(1'000'000, kStart);
  }
}

TEST_CASE("a share admits its rate times the elapsed time plus its bucket") {
  LinkShare share;
  share.setCeiling(10'000);
  double taken = 0;
  for (TimePoint now = kStart; now < kStart + seconds(10); now += milliseconds(1)) {
    if (!share.admits(500, TransferPriority::High, now)) continue;
    share.take(500, now);
    taken += 500;
  }
  CHECK(taken <= 10'000 * 10.25 + 500);
  CHECK(taken >= 10'000 * 10 * 0.9);
}

TEST_CASE("a transfer larger than the bucket needs a full bucket and leaves a negative balance") {
  LinkShare share;
  share.setCeiling(10'000);
  CHECK(share.admits(20'000, TransferPriority::Low, kStart));
  share.take(20'000, kStart);
  CHECK_FALSE(share.admits(1, TransferPriority::High, kStart + milliseconds(1'700)));
  CHECK(share.admits(1, TransferPriority::High, kStart + milliseconds(1'800)));
}

TEST_CASE("when tokens run low, requests neither urgent nor small stop first, and urgent small ones last") {
  LinkShare share;
  share.setCeiling(10'000);
  CHECK(share.admits(100, TransferPriority::Low, kStart));
  share.take(1'500, kStart);
  CHECK_FALSE(share.admits(100, TransferPriority::Low, kStart));
  CHECK(share.admits(100, TransferPriority::Normal, kStart));
  share.take(500, kStart);
  CHECK_FALSE(share.admits(100, TransferPriority::Normal, kStart));
  CHECK(share.admits(100, TransferPriority::High, kStart));
}

TEST_CASE("tokens taken for bytes that were not transferred are returned") {
  LinkShare share;
  share.setCeiling(10'000);
  CHECK(share.admits(2'400, TransferPriority::High, kStart));
  share.take(2'400, kStart);
  CHECK_FALSE(share.admits(2'000, TransferPriority::High, kStart));
  share.settle(-2'300, kStart);
  CHECK(share.admits(2'000, TransferPriority::High, kStart));
}

TEST_CASE("a queue on the link lowers the rate at once, and the rate recovers in steps") {
  LinkShare share;
  TimePoint now = kStart;
  share.adapt(false, now);
  share.take(50'000, now);
  now += milliseconds(500);
  CHECK(share.adapt(true, now));
  CHECK(share.rate() == Approx(70'000));
  share.take(20'000, now);
  now += milliseconds(500);
  CHECK_FALSE(share.adapt(true, now));
  CHECK(share.rate() < 40'000);
  const double reduced_rate = share.rate();
  now += milliseconds(500);
  share.adapt(false, now);
  CHECK(share.rate() > reduced_rate);
  CHECK(share.rate() < reduced_rate * 1.1);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(500);
    share.adapt(false, now);
  }
  CHECK(share.rate() == LinkShare::kUnbounded);
}

TEST_CASE("a round trip expires, and its rise is the difference to the minimum") {
  RoundTripMeter meter;
  CHECK_FALSE(meter.latest(kStart));
  CHECK(meter.rise(kStart) == Duration::zero());
  meter.note(milliseconds(60), kStart);
  CHECK(meter.latest(kStart) == Duration(milliseconds(60)));
  for (int i = 0; i < 100; ++i) meter.note(milliseconds(100), kStart);
  CHECK(meter.rise(kStart) > milliseconds(35));
  CHECK(meter.floor() == milliseconds(60));
  CHECK_FALSE(meter.latest(kStart + seconds(6)));
  CHECK(meter.rise(kStart + seconds(6)) == Duration::zero());
}

TEST_CASE("a lasting rise of the round-trip time becomes the new minimum") {
  RoundTripMeter meter;
  meter.note(milliseconds(60), kStart);
  TimePoint now = kStart;
  for (; now < kStart + seconds(70); now += seconds(1)) meter.note(milliseconds(100), now);
  CHECK(meter.floor() == milliseconds(100));
  CHECK(meter.rise(now) < milliseconds(5));
}

}  // namespace cometstand::sidecar::test
