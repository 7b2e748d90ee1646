#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rehearsal/simulator/fleet.h"
#include "rehearsal/simulator/http_client.h"

namespace cometstand::simulator {

/// Callers of all kinds of the deployment, who send what failed again as its kind allows: keyed requests
/// under their key through another proxy, repeatable ones anew, others only if they did not run.
class CallerWorkload {
 public:
  explicit CallerWorkload(Fleet& fleet);

  void start();
  void stop() { stopped_ = true; }
  /// No fault is left: every request that begins from now on must complete.
  void expectCompletion() { expect_completion_ = true; }

  /// @return requests whose last word was completed, and all that ended.
  std::uint64_t completed() const { return completed_; }
  std::uint64_t ended() const { return ended_; }
  std::uint64_t inWork() const { return begun_ - ended_; }

 private:
  struct Call {
    CallLayout layout;
    std::string id;
    std::string key;
    std::string target;
    unsigned sendings = 0;
    std::string last_proxy;
    bool must_complete = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  void scheduleNext(const CallLayout& layout);
  void begin(const CallLayout& layout);
  void send(const CallPointer& call);
  void onEnd(const CallPointer& call, const std::string& attempt, ExchangeEnd end,
             const HttpResponse* response);
  bool mayResend(const Call& call, ExchangeEnd end, const HttpResponse* response) const;
  void finish(const Call& call, bool completed);

  Fleet& fleet_;
  RandomSource random_;
  std::vector<std::string> proxies_;
  HostId host_;
  HttpClient client_;
  bool stopped_ = false;
  bool expect_completion_ = false;
  std::uint64_t begun_ = 0;
  std::uint64_t ended_ = 0;
  std::uint64_t completed_ = 0;
};

}  // namespace cometstand::simulator
