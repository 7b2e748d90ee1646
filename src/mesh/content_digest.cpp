#include "mesh/content_digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <cstring>
#include <memory>
#include <string_view>

namespace cometstand::mesh {
namespace {

struct DigestContextDeleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

/// Parts of a content, each with its length before it, so that no two lists of parts give the same bytes.
/// Hashed as they are added: a content may hold a large body.
class ContentParts {
 public:
  ContentParts() : context_(EVP_MD_CTX_new()) { EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr); }

  void add(const void* part, std::size_t length) {
    const std::uint64_t size = length;
    EVP_DigestUpdate(context_.get(), &size, sizeof size);
    EVP_DigestUpdate(context_.get(), part, length);
  }
  void add(std::string_view text) { add(text.data(), text.size()); }

  /// To be called once.
  ContentDigest digest() {
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    EVP_DigestFinal_ex(context_.get(), hash.data(), nullptr);
    ContentDigest digest;
    std::memcpy(&digest.high, hash.data(), sizeof digest.high);
    std::memcpy(&digest.low, hash.data() + sizeof digest.high, sizeof digest.low);
    return digest;
  }

 private:
  std::unique_ptr<EVP_MD_CTX, DigestContextDeleter> context_;
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
