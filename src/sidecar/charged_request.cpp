#include "sidecar/charged_request.h"

#include <utility>

namespace cometstand::sidecar {
namespace {

/// Memory for a request besides its text: its state in the queue and at the target.
constexpr std::size_t kRequestOverheadBytes = 4 * 1024;
/// Memory for one header field besides its text: here, and in the request to the target.
constexpr std::size_t kFieldOverheadBytes = 256;
/// Each text is held as often.
constexpr std::size_t kTextCopies = 2;

struct ChargedRequest {
  wire::ForwardRequestT request;
  overload::MemoryBudget::Charge charge;
};

std::size_t costOf(const wire::ForwardRequestT& request) {
  std::size_t bytes = kRequestOverheadBytes + kTextCopies * request.target.size() + request.body.size() +
                      request.announced_bytes;
  for (const auto& field : request.fields)
    bytes += kFieldOverheadBytes + kTextCopies * (field->name.size() + field->value.size());
  return bytes;
}

}  // namespace

std::shared_ptr<wire::ForwardRequestT> chargeRequest(const wire::ForwardRequestT& request,
                                                     overload::MemoryBudget* budget) {
  overload::MemoryBudget::Charge charge(budget);
  if (!charge.tryResize(costOf(request))) return nullptr;
  auto charged = std::make_shared<ChargedRequest>(ChargedRequest{request, std::move(charge)});
  auto* inner = &charged->request;
  return {std::move(charged), inner};
}

}  // namespace cometstand::sidecar
