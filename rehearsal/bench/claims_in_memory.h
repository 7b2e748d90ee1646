#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "proxy/claim_service.h"
#include "proxy/http_server.h"

namespace cometstand::rehearsal {

/// Keeps claims as the store does, less its disk, its quorum and the way there. Lives in the thread of the
/// proxy's io_context.
class ClaimsInMemory : public proxy::ClaimService {
 public:
  explicit ClaimsInMemory(boost::asio::io_context& io) : io_(io) {}

  /// Sets where answers go; call it before the first request.
  void setServer(proxy::HttpServer& server) { server_ = &server; }

  void takeClaim(proxy::RequestId request, const wire::ClaimRequestT& claim) override;
  void finishClaim(const wire::ClaimFinishT& finish) override;

  /// @return the state of every key that was claimed and not released.
  const std::map<std::string, wire::ClaimState>& states() const { return states_; }

 private:
  boost::asio::io_context& io_;
  proxy::HttpServer* server_ = nullptr;
  std::map<std::string, wire::ClaimState> states_;
  std::map<std::string, std::shared_ptr<wire::RecordedAnswerT>> answers_;
};

}  // namespace cometstand::rehearsal
