#include "tests/fuzz/sample_messages.h"

#include <xxhash.h>

#include <memory>
#include <utility>

#include "operator/command.h"
#include "runtime/process_core.h"
#include "view/object_digest.h"

namespace cometstand::fuzz {
namespace {

constexpr const char* kChange = R"(change {
  put tenant t max_in_flight 5;
  put credential t/anna token_hash 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
    salt 00112233445566778899aabbccddeeff;
  put node n1 zone krk-a tenants (t);
  put secret t/key value "hunter2";
  put service t/desk { endpoint e1 at 127.0.0.1:9001 zone krk-a slots 6 connections 130; };
  put route t/cues host a.example path /cues method GET to desk secret key class commit timeout 2s retries 1;
})";

std::vector<std::shared_ptr<wire::ObjectChangeT>> sampleChanges() {
  const auto change = std::get<command::Change>(command::parseCommand(kChange));
  const auto transaction = command::toTransaction(change, "t");
  std::vector<std::shared_ptr<wire::ObjectChangeT>> changes;
  std::uint64_t version = 0;
  for (const auto& operation : transaction.operations) {
    auto one = std::make_shared<wire::ObjectChangeT>();
    one->key = operation->key;
    one->object = operation->object;
    one->version = ++version;
    changes.push_back(std::move(one));
  }
  auto deletion = std::make_shared<wire::ObjectChangeT>(*changes.back());
  deletion->object.reset();
  deletion->version = ++version;
  changes.push_back(std::move(deletion));
  return changes;
}

/// What a proxy's view holds of the sample: node, secret, service and route.
std::vector<std::shared_ptr<wire::ObjectChangeT>> sampleView() {
  const auto changes = sampleChanges();
  return {changes.begin() + 2, changes.begin() + 6};
}

std::shared_ptr<wire::Digest> digestOfView() {
  view::DigestSum sum;
  for (const auto& change : sampleView()) {
    // The node does not count in a view's digest.
    if (change->key->kind != wire::ObjectKind::Node) sum += view::digestOf(*change);
  }
  return sum.toWire();
}

std::shared_ptr<wire::ErrorInfoT> sampleError() {
  auto error = std::make_shared<wire::ErrorInfoT>();
  error->kind = 8;
  error->message = "no leader";
  error->remedy = "come back";
  error->retry_after_ms = 100;
  return error;
}

std::shared_ptr<wire::NetworkAddressT> sampleAddress() {
  auto address = std::make_shared<wire::NetworkAddressT>();
  address->address = "127.0.0.1";
  address->port = 7001;
  return address;
}

std::shared_ptr<wire::EndpointRecordT> sampleRecord() {
  auto record = std::make_shared<wire::EndpointRecordT>();
  record->tenant = "t";
  record->service = "desk";
  record->endpoint = "e1";
  record->address = "127.0.0.1";
  record->port = 9001;
  record->zone = "krk-a";
  record->incarnation = 1;
  record->sequence = 2;
  record->state = wire::EndpointState::Live;
  return record;
}

std::shared_ptr<wire::RecordedAnswerT> sampleAnswer() {
  auto answer = std::make_shared<wire::RecordedAnswerT>();
  answer->status = 200;
  answer->content_type = "text/plain";
  answer->body = {'o', 'k'};
  return answer;
}

class Samples {
 public:
  std::vector<wire::EnvelopeT> take() { return std::exchange(samples_, {}); }

  template <typename Message>
  void add(Message message) {
    samples_.push_back(runtime::makeEnvelope(std::move(message), samples_.size() % 4));
  }

  void addOperatorMessages() {
    for (const char* text :
         {"show version", "show proxies where zone = krk-a", "show changes last 3",
          "show endpoints of t/desk", "stop proxy n1", "wait version 3 in force", kChange}) {
      wire::CommandRequestT request;
      request.request_id = "1000-a";
      request.tenant = "mesh";
      request.operator_name = "bootstrap";
      request.token = "bootstrap-token";
      request.text = text;
      add(request);
    }
    wire::CommandReplyT reply;
    reply.error = sampleError();
    reply.columns = {"version"};
    reply.rows = {std::make_shared<wire::RowT>()};
    add(reply);
  }

  void addFollowerMessages() {
    wire::FollowRequestT follow;
    follow.relay = "r1";
    follow.zone = "krk-a";
    follow.region = "krakow";
    follow.address = sampleAddress();
    add(follow);
    wire::ConfigurationSnapshotT snapshot;
    snapshot.version = 7;
    snapshot.changes = sampleChanges();
    add(snapshot);
    wire::ConfigurationDeltaT delta;
    delta.to_version = 7;
    delta.changes = sampleChanges();
    add(delta);
    wire::QuorumBeatT beat;
    beat.term = 1;
    beat.round = 1;
    beat.version = 7;
    add(beat);
    add(wire::FreshnessRequestT());
    wire::RefusalT refusal;
    refusal.error = sampleError();
    refusal.alternatives = {sampleAddress()};
    add(refusal);
    wire::InForceReportT report;
    report.relay = "r1";
    report.zone = "krk-a";
    report.proxies = 1;
    add(report);
  }

  void addStatusMessages() {
    add(wire::StatusRequestT());
    wire::StatusReplyT status;
    auto proxy = std::make_shared<wire::ProxyStatusT>();
    proxy->node = "n1";
    status.proxies = {proxy};
    status.endpoints = {sampleRecord()};
    add(status);
    for (const auto kind : {wire::StopKind::Proxy, wire::StopKind::Endpoint}) {
      wire::StopOrderT order;
      order.kind = kind;
      order.tenant = "t";
      order.name = kind == wire::StopKind::Proxy ? "n1" : "desk";
      order.endpoint = "e1";
      add(order);
    }
    wire::EndpointUpdateT update;
    update.records = {sampleRecord()};
    add(update);
    wire::ConnectionShareT share;
    share.proxies = 2;
    add(share);
    wire::RelayHelloT hello;
    hello.relay = "r2";
    hello.zone = "krk-a";
    add(hello);
  }

  void addProxyMessages() {
    const auto digest = std::make_shared<wire::Digest>(1, 2);
    wire::ProxyHelloT hello;
    hello.node = "n1";
    hello.zone = "krk-a";
    hello.incarnation = 1;
    hello.view_digest = digest;
    add(hello);
    wire::ViewDeltaT delta;
    delta.to_version = 7;
    delta.digest = digestOfView();
    delta.changes = sampleView();
    delta.as_of = 7;
    add(delta);
    wire::ViewSnapshotT snapshot;
    snapshot.version = 7;
    snapshot.digest = digestOfView();
    snapshot.changes = sampleView();
    snapshot.as_of = 7;
    add(snapshot);
    wire::ViewBeatT beat;
    beat.as_of = 7;
    add(beat);
    add(wire::ViewReportT());
    wire::GoodbyeT goodbye;
    goodbye.alternatives = {sampleAddress()};
    add(goodbye);
    wire::ClaimRequestT claim;
    claim.tenant = "t";
    claim.key = "k";
    claim.request_digest = digest;
    claim.attempt = "a";
    add(claim);
    wire::ClaimReplyT claim_reply;
    claim_reply.error = sampleError();
    claim_reply.answer = sampleAnswer();
    add(claim_reply);
    wire::ClaimFinishT finish;
    finish.tenant = "t";
    finish.key = "k";
    finish.attempt = "a";
    finish.answer = sampleAnswer();
    add(finish);
  }

 private:
  std::vector<wire::EnvelopeT> samples_;
};

}  // namespace

std::vector<wire::EnvelopeT> sampleMessages() {
  Samples samples;
  samples.addOperatorMessages();
  samples.addFollowerMessages();
  samples.addStatusMessages();
  samples.addProxyMessages();
  return samples.take();
}

std::string payloadOf(const wire::EnvelopeT& envelope) {
  const auto frame = net::encodeFrame(envelope);
  return {frame.begin() + net::kFrameHeaderBytes, frame.end()};
}

std::vector<std::uint8_t> frameOf(const std::string& payload) {
  std::vector<std::uint8_t> frame;
  const auto add_field = [&frame](std::uint32_t value) {
    for (unsigned shift = 0; shift < 32; shift += 8)
      frame.push_back(static_cast<std::uint8_t>(value >> shift));
  };
  add_field(static_cast<std::uint32_t>(payload.size()));
  add_field(static_cast<std::uint32_t>(XXH3_64bits(payload.data(), payload.size())));
  frame.insert(frame.end(), payload.begin(), payload.end());
  return frame;
}

}  // namespace cometstand::fuzz
