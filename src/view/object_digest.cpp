#include "view/object_digest.h"

#include <xxhash.h>

namespace cometstand::view {

DigestSum& DigestSum::operator+=(const DigestSum& other) {
  low_ += other.low_;
  high_ += other.high_ + (low_ < other.low_ ? 1 : 0);
  return *this;
}

DigestSum& DigestSum::operator-=(const DigestSum& other) {
  const std::uint64_t borrow = low_ < other.low_ ? 1 : 0;
  low_ -= other.low_;
  high_ -= other.high_ + borrow;
  return *this;
}

std::shared_ptr<wire::Digest> DigestSum::toWire() const {
  return std::make_shared<wire::Digest>(low_, high_);
}

DigestSum DigestSum::fromWire(const wire::Digest* digest) {
  return digest == nullptr ? DigestSum() : DigestSum(digest->low(), digest->high());
}

MeasuredObject measureObject(const wire::ObjectChangeT& change) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::ObjectChange::Pack(builder, &change));
  const XXH128_hash_t hash = XXH3_128bits(builder.GetBufferPointer(), builder.GetSize());
  return {DigestSum(hash.low64, hash.high64), builder.GetSize()};
}

}  // namespace cometstand::view
