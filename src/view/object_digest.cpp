#include "view/object_digest.h"

#include "config/object_digest.h"

namespace cometstand::view {
namespace {

wire::Digest digestValue(const DigestSum& sum) { return {sum.low(), sum.high()}; }

DigestSum sumOf(const wire::Digest& digest) { return {digest.low(), digest.high()}; }

}  // namespace

DigestSum& DigestSum::operator+=(const DigestSum& other) {
  return *this = sumOf(config::addDigest(digestValue(*this), digestValue(other)));
}

DigestSum& DigestSum::operator-=(const DigestSum& other) {
  return *this = sumOf(config::subtractDigest(digestValue(*this), digestValue(other)));
}

std::shared_ptr<wire::Digest> DigestSum::toWire() const {
  return std::make_shared<wire::Digest>(low_, high_);
}

DigestSum DigestSum::fromWire(const wire::Digest* digest) {
  return digest == nullptr ? DigestSum() : sumOf(*digest);
}

DigestSum digestOf(const wire::ObjectChangeT& change) {
  return sumOf(config::objectDigest(*change.object, change.version));
}

}  // namespace cometstand::view
