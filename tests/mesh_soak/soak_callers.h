#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "platform_processes/platform_mesh.h"
#include "web/client.h"

namespace cometstand::platform {

/// A request on whose connection no answer came.
struct UnansweredRequest {
  std::string id;
  std::size_t sidecar = 0;
  TimePoint sent_at;
  TimePoint ended_at;
};

/// Callers of all sidecars, on a thread of their own, that use their connections until the process is gone:
/// - some send one request after the other and wait for each answer;
/// - late ones belong to tenants with a limit and have only milliseconds left;
/// - others leave before their answer.
class SoakCallers {
 public:
  /// @param pause_factor by how much longer all callers pause between two requests.
  SoakCallers(PlatformMesh& mesh, std::uint64_t seed, unsigned pause_factor);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// @return the number of requests of patient callers that the sidecar has answered with success.
  std::size_t served(std::size_t sidecar) const { return served_.at(sidecar); }
  /// @return the number of late attempts and of requests whose callers have left.
  std::size_t lateAndLeft() const { return late_and_left_; }
  /// @return requests of patient callers whose connections ended after they were sent.
  std::vector<UnansweredRequest> unanswered() const;
  /// @return responses to patient callers that no target, and no sidecar, may give, a line each.
  std::vector<std::string> wrongResponses() const;

 private:
  void sendPatient(std::size_t sidecar);
  void checkResponse(const std::string& id, const web::Response& response);
  void sendLate(std::size_t sidecar);
  void sendAndLeave(std::size_t sidecar);
  web::Request makeRequest(const std::string& id, const std::string& key, Duration deadline) const;
  web::Request drawRequest(const std::string& id);
  web::SendId nextId() { return web::SendId{++sends_}; }
  void after(Duration pause, std::function<void()> action);

  const unsigned pause_factor_;
  RandomSource random_;
  boost::asio::io_context io_;
  std::deque<web::Client> patient_clients_;
  std::deque<web::Client> late_clients_;
  std::deque<web::Client> leaving_clients_;
  std::uint64_t sends_ = 0;
  std::deque<std::atomic<std::size_t>> served_;
  std::atomic<std::size_t> late_and_left_ = 0;
  mutable std::mutex mutex_;
  std::vector<UnansweredRequest> unanswered_;
  std::vector<std::string> wrong_responses_;
  std::thread thread_;
};

}  // namespace cometstand::platform
