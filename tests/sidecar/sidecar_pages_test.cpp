#include "sidecar/sidecar_pages.h"

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

TEST_CASE("the metrics count callers' requests by outcome and the gate's refusals by reason") {
  SidecarFixture sidecar;
  sidecar.call("/read/1");
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.call("/read/2");
  sidecar.now += milliseconds(30);
  sidecar.reply(SidecarFixture::kPeer, sidecar.forwardsTo(SidecarFixture::kPeer).at(0),
                wire::ForwardOutcome::Answered);
  admin::MetricSet metrics;
  SidecarPages(sidecar.core).addMetrics(metrics);
  const auto text = metrics.toText();
  CHECK_THAT(text, Catch::Contains("cometstand_sidecar_call_seconds_count{outcome=\"not_run\"} 1\n"));
  CHECK_THAT(text, Catch::Contains("cometstand_sidecar_call_seconds_count{outcome=\"answered\"} 1\n"));
  CHECK_THAT(text, Catch::Contains("call_seconds_bucket{outcome=\"answered\",le=\"0.02\"} 0\n"));
  CHECK_THAT(text, Catch::Contains("call_seconds_bucket{outcome=\"answered\",le=\"0.05\"} 1\n"));
  CHECK_THAT(text, Catch::Contains("cometstand_sidecar_refusals_total{reason=\"Full\"} 0\n"));
}

}  // namespace cometstand::sidecar::test
