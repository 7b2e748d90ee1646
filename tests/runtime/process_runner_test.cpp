#include "runtime/process_runner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <thread>
#include <vector>

#include "base/time.h"

namespace cometstand::runtime {
namespace {

constexpr auto kTestTimeLimit = std::chrono::seconds(30);

/// Sends one command to the address it is given and answers every command it receives with its own text.
class EchoCore : public ProcessCore {
 public:
  void connectTo(const Address& address) { actions_.connects.push_back({LinkId{1}, address}); }

  void start(const FileReader& /*files*/, TimePoint /*now*/) override {}
  void onLinkOpened(LinkId link, const PeerIdentity& /*peer*/, TimePoint /*now*/) override {
    open_.insert(link);
    if (link != LinkId{1}) return;
    wire::CommandRequestT request;
    request.text = "show version";
    queue(link, makeEnvelope(request, 5));
  }
  void onLinkClosed(LinkId link, TimePoint /*now*/) override {
    open_.erase(link);
    ++closed_;
  }
  void onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint /*now*/) override {
    if (const auto* request = message.body.AsCommandRequest()) {
      wire::CommandReplyT reply;
      reply.columns = {request->text};
      queue(link, makeEnvelope(reply, message.request_id));
    } else if (const auto* reply = message.body.AsCommandReply()) {
      answer_ = reply->columns.at(0);
      answered_id_ = message.request_id;
    }
  }
  void onFileWritten(WriteId /*write*/, TimePoint /*now*/) override {}
  void onFileFailed(WriteId /*write*/, const std::string& /*reason*/, TimePoint /*now*/) override {}
  void onTimer(TimePoint /*now*/) override {}
  TimePoint nextTimer() const override { return TimePoint::max(); }
  Actions takeActions() override { return std::exchange(actions_, {}); }
  void beginStop(TimePoint /*now*/) override { stopped_ = true; }
  bool stopped() const override { return stopped_; }

  const std::string& answer() const { return answer_; }
  std::uint64_t answeredId() const { return answered_id_; }
  int closed() const { return closed_; }

 private:
  void queue(LinkId link, wire::EnvelopeT envelope) {
    actions_.messages.push_back({link, std::make_shared<const wire::EnvelopeT>(std::move(envelope))});
  }

  Actions actions_;
  std::set<LinkId> open_;
  std::string answer_;
  std::uint64_t answered_id_ = 0;
  int closed_ = 0;
  bool stopped_ = false;
};

/// Sends each message back, and wants its timer at once all the time.
class BusyCore : public EchoCore {
 public:
  void onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint /*now*/) override {
    ++messages_;
    longest_wait_ = std::max(longest_wait_, ++messages_since_timer_);
    back_.messages.push_back({link, std::make_shared<const wire::EnvelopeT>(message)});
  }
  void onTimer(TimePoint /*now*/) override { messages_since_timer_ = 0; }
  TimePoint nextTimer() const override { return TimePoint(); }
  Actions takeActions() override {
    Actions actions = EchoCore::takeActions();
    for (auto& message : std::exchange(back_, {}).messages) actions.messages.push_back(std::move(message));
    return actions;
  }

  unsigned messages() const { return messages_; }
  /// @return the most messages that came between two calls of the timer.
  unsigned longestWait() const { return longest_wait_; }

 private:
  Actions back_;
  unsigned messages_ = 0;
  unsigned messages_since_timer_ = 0;
  unsigned longest_wait_ = 0;
};

template <typename Condition>
void runUntil(boost::asio::io_context& io, const Condition& condition) {
  const auto limit = SteadyClock::now() + kTestTimeLimit;
  while (!condition() && SteadyClock::now() < limit) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  REQUIRE(condition());
}

TEST_CASE("two runners exchange a request and its answer", "[process_runner]") {
  boost::asio::io_context io;
  EchoCore server;
  ProcessRunner server_runner(io, server, {{"127.0.0.1", 0}, "", nullptr});
  server_runner.start();
  EchoCore client;
  client.connectTo(server_runner.listenAddress());
  ProcessRunner client_runner(io, client, {{}, "", nullptr});
  client_runner.start();
  runUntil(io, [&] { return !client.answer().empty(); });
  CHECK(client.answer() == "show version");
  CHECK(client.answeredId() == 5);
  CHECK(client_runner.bytesSent() > 0);
}

TEST_CASE("a refused connection is reported as a closed link", "[process_runner]") {
  boost::asio::io_context io;
  Address unused;
  {
    EchoCore server;
    const ProcessRunner runner(io, server, {{"127.0.0.1", 0}, "", nullptr});
    unused = runner.listenAddress();
  }
  EchoCore client;
  client.connectTo(unused);
  ProcessRunner runner(io, client, {{}, "", nullptr});
  runner.start();
  runUntil(io, [&] { return client.closed() == 1; });
}

TEST_CASE("a planned stop lets the last answer out", "[process_runner]") {
  boost::asio::io_context server_io;
  EchoCore server;
  ProcessRunner server_runner(server_io, server, {{"127.0.0.1", 0}, "", nullptr});
  server_runner.start();
  boost::asio::io_context client_io;
  EchoCore client;
  client.connectTo(server_runner.listenAddress());
  ProcessRunner client_runner(client_io, client, {{}, "", nullptr});
  client_runner.start();
  runUntil(client_io, [&] {
    server_io.restart();
    server_io.run_for(std::chrono::milliseconds(1));
    return !client.answer().empty();
  });
  server_runner.beginStop();
  server_io.restart();
  server_io.run_for(kTestTimeLimit);
  CHECK(server_io.stopped());
  runUntil(client_io, [&] { return client.closed() == 1; });
}

/// What is delivered when the test says so.
class HeldDeliveries : public Deliveries {
 public:
  std::size_t undelivered() const override { return count; }
  std::size_t count = 1;
};

TEST_CASE("a planned stop waits for what has not been delivered", "[process_runner]") {
  boost::asio::io_context io;
  EchoCore core;
  ProcessRunner runner(io, core, {{"127.0.0.1", 0}, "", nullptr});
  HeldDeliveries deliveries;
  runner.addDeliveries(deliveries);
  runner.start();
  runner.beginStop();
  io.run_for(std::chrono::milliseconds(300));
  CHECK_FALSE(io.stopped());
  deliveries.count = 0;
  io.run_for(kTestTimeLimit);
  CHECK(io.stopped());
}

TEST_CASE("a planned stop ends at its limit, whatever is not delivered", "[process_runner]") {
  boost::asio::io_context io;
  EchoCore core;
  ProcessRunner runner(io, core, {{"127.0.0.1", 0}, "", nullptr});
  const HeldDeliveries deliveries;
  runner.addDeliveries(deliveries);
  runner.setStopTimeLimit(std::chrono::milliseconds(200));
  runner.start();
  const auto began = SteadyClock::now();
  runner.beginStop();
  io.run_for(kTestTimeLimit);
  CHECK(io.stopped());
  CHECK(SteadyClock::now() - began >= std::chrono::milliseconds(200));
  CHECK(SteadyClock::now() - began < std::chrono::seconds(2));
}

/// Sends many messages at once on each link that opens, and goes on to send while it stops.
class FloodCore : public EchoCore {
 public:
  static constexpr unsigned kMessages = 200;
  static constexpr std::size_t kMessageBytes = 20'000;

  void onLinkOpened(LinkId link, const PeerIdentity& /*peer*/, TimePoint /*now*/) override {
    wire::CommandReplyT reply;
    reply.columns = {std::string(kMessageBytes, 'x')};
    const auto message = std::make_shared<const wire::EnvelopeT>(makeEnvelope(reply, 1));
    for (unsigned i = 0; i < kMessages; ++i) flood_.messages.push_back({link, message});
  }
  Actions takeActions() override { return std::exchange(flood_, {}); }

 private:
  Actions flood_;
};

/// Counts what comes and says something back each time, so that the other side has unread bytes when it
/// closes.
class CountingCore : public EchoCore {
 public:
  void onLinkOpened(LinkId, const PeerIdentity&, TimePoint) override {}
  void onMessage(LinkId link, const wire::EnvelopeT& /*message*/, TimePoint) override {
    ++count;
    wire::CommandRequestT request;
    request.text = "show version";
    back_.messages.push_back({link, std::make_shared<const wire::EnvelopeT>(makeEnvelope(request, 5))});
  }
  Actions takeActions() override {
    Actions actions = EchoCore::takeActions();
    for (auto& message : std::exchange(back_, {}).messages) actions.messages.push_back(std::move(message));
    return actions;
  }
  unsigned count = 0;

 private:
  Actions back_;
};

// A socket that is closed with unread bytes resets the connection, and what its peer has not read is lost.
TEST_CASE("a planned stop closes a link once its peer has the last message", "[process_runner]") {
  boost::asio::io_context server_io;
  FloodCore server;
  ProcessRunner server_runner(server_io, server, {{"127.0.0.1", 0}, "", nullptr});
  server_runner.start();
  boost::asio::io_context client_io;
  CountingCore client;
  client.connectTo(server_runner.listenAddress());
  ProcessRunner client_runner(client_io, client, {{}, "", nullptr});
  client_runner.start();
  runUntil(client_io, [&] {
    server_io.restart();
    server_io.run_for(std::chrono::milliseconds(1));
    return client.count > 0;
  });
  server_runner.beginStop();
  std::thread server_thread([&] {
    server_io.restart();
    server_io.run_for(kTestTimeLimit);
  });
  runUntil(client_io, [&] { return client.closed() == 1; });
  server_thread.join();
  CHECK(client.count == FloodCore::kMessages);
}

/// A listener whose queue of new connections is full: connects to it hang.
class FullListener {
 public:
  explicit FullListener(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    constexpr int kBacklog = 0;
    constexpr int kMoreThanFits = 4;
    acceptor_.listen(kBacklog);
    for (int i = 0; i < kMoreThanFits; ++i) {
      waiting_.emplace_back(io);
      waiting_.back().async_connect(acceptor_.local_endpoint(), [](boost::system::error_code) {});
    }
  }

  Address address() const {
    return {acceptor_.local_endpoint().address().to_string(), acceptor_.local_endpoint().port()};
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> waiting_;
};

// The users' bench: sidecars were still there at the end of the time that a planned stop may take, since
// links to machines that were cut off had not opened yet.
TEST_CASE("a planned stop does not wait for links that have not opened", "[process_runner]") {
  boost::asio::io_context listener_io;
  const FullListener listener(listener_io);
  boost::asio::io_context io;
  EchoCore client;
  client.connectTo(listener.address());
  ProcessRunner runner(io, client, {{}, "", nullptr});
  runner.start();
  io.poll();
  REQUIRE(client.closed() == 0);
  runner.beginStop();
  io.restart();
  io.run_for(kTestTimeLimit);
  CHECK(client.closed() == 1);
}

TEST_CASE("messages in quick succession do not put the timer off", "[process_runner]") {
  constexpr unsigned kMessageCount = 20'000;
  boost::asio::io_context io;
  BusyCore server;
  ProcessRunner server_runner(io, server, {{"127.0.0.1", 0}, "", nullptr});
  server_runner.start();
  BusyCore client;
  client.connectTo(server_runner.listenAddress());
  ProcessRunner client_runner(io, client, {{}, "", nullptr});
  client_runner.start();
  runUntil(io, [&] { return server.messages() > kMessageCount; });
  CHECK(server.longestWait() < kMessageCount / 20);
}

}  // namespace
}  // namespace cometstand::runtime
