#include "mesh/content_digest.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <cstring>
#include <string_view>
#include <vector>

namespace cometstand::mesh {
namespace {

/// Parts of a content, each with its length before it, so that no two lists of parts give the same bytes.
class ContentParts {
 public:
  void add(const void* part, std::size_t length) {
    const std::uint64_t size = length;
    append(&size, sizeof size);
    append(part, length);
  }
  void add(std::string_view text) { add(text.data(), text.size()); }

  ContentDigest digest() const {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(bytes_.data(), bytes_.size(), hash.data());
    ContentDigest digest;
    std::memcpy(&digest.high, hash.data(), sizeof digest.high);
    std::memcpy(&digest.low, hash.data() + sizeof digest.high, sizeof digest.low);
    return digest;
  }

 private:
  void append(const void* part, std::size_t length) {
    if (length == 0) return;
    const std::size_t size = bytes_.size();
    bytes_.resize(size + length);
    std::memcpy(bytes_.data() + size, part, length);
  }

  std::vector<unsigned char> bytes_;
};

std::string_view hostOf(const wire::ForwardRequestT& request) {
  for (const auto& field : request.fields) {
    if (boost::algorithm::iequals(field->name, "Host")) return field->value;
  }
  return {};
}

ContentDigest digestOf(const wire::ForwardRequestT& request, std::string_view target) {
  ContentParts parts;
  parts.add(request.caller_service);
  parts.add(request.service);
  parts.add(request.method);
  parts.add(hostOf(request));
  parts.add(target);
  parts.add(request.body.data(), request.body.size());
  return parts.digest();
}

}  // namespace

ContentDigests digestsOf(const wire::ForwardRequestT& request) {
  const std::string_view target = request.target;
  ContentDigests digests{digestOf(request, target), std::nullopt};
  const auto query = target.find('?');
  if (query != std::string_view::npos) digests.path = digestOf(request, target.substr(0, query));
  return digests;
}

std::string formatDigest(const ContentDigest& digest) {
  return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

}  // namespace cometstand::mesh
