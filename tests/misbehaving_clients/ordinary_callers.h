#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <thread>

#include "platform_processes/platform_mesh.h"
#include "web/client.h"

namespace cometstand::platform {

/// Callers of all sidecars within the limits: each keeps a connection, pauses between its requests, and
/// sends a request that was refused or cut off again, on the terms of the answer, until its deadline. Every
/// eighth request has a body.
class OrdinaryCallers {
 public:
  explicit OrdinaryCallers(PlatformMesh& mesh);
  ~OrdinaryCallers();
  OrdinaryCallers(const OrdinaryCallers&) = delete;
  OrdinaryCallers& operator=(const OrdinaryCallers&) = delete;

  /// Requests that have ended at one sidecar.
  struct Count {
    std::size_t served = 0;
    std::size_t ended = 0;
    /// @return the share of those that were served; 1 if none has ended.
    double share() const;
  };
  Count countOf(std::size_t sidecar) const;
  /// Begins to count anew: requests that began before do not count.
  void reset();

 private:
  /// One request of a caller over all its attempts.
  struct Request {
    std::size_t sidecar = 0;
    std::string id;
    bool has_body = false;
    unsigned attempts = 0;
    TimePoint deadline;
    unsigned round = 0;
  };

  void begin(std::size_t sidecar);
  void attempt(Request request);
  void onResult(const Request& request, const web::SendResult& result);
  void finish(const Request& request, bool is_served);
  void after(Duration pause, std::function<void()> action);

  boost::asio::io_context io_;
  std::deque<web::Client> clients_;
  std::string body_;
  std::uint64_t sends_ = 0;
  std::atomic<unsigned> round_ = 0;
  struct AtomicCount {
    std::atomic<std::size_t> served = 0;
    std::atomic<std::size_t> ended = 0;
  };
  std::deque<AtomicCount> counts_;
  std::thread thread_;
};

}  // namespace cometstand::platform
