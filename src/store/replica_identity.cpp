#include "store/replica_identity.h"

#include <charconv>

#include "base/error.h"
#include "base/random.h"
#include "runtime/data_folder.h"

namespace cometstand::store {
namespace {

constexpr const char* kIdentityFile = "identity";
/// Ids are also written as signed 64-bit integers, so the top bit stays clear.
constexpr std::uint64_t kMaxReplicaId = (std::uint64_t{1} << 63U) - 1;

std::uint64_t parseId(const std::vector<std::uint8_t>& bytes) {
  const std::string text(bytes.begin(), bytes.end());
  std::uint64_t id = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), id);
  if (result.ec != std::errc() || id == 0) {
    throw Error(ErrorKind::Corrupt,
                "the file \"identity\" in the data folder does not contain a valid replica id",
                "start the replica with an empty data folder");
  }
  return id;
}

}  // namespace

std::uint64_t replicaIdOf(const std::string& data_folder) {
  runtime::DataFolder folder(data_folder);
  if (const auto bytes = folder.read(kIdentityFile)) return parseId(*bytes);
  RandomSource random(systemSeed());
  const std::uint64_t id = random.uniform(1, kMaxReplicaId);
  const std::string text = std::to_string(id);
  const auto results = folder.apply(
      {{runtime::WriteId{1}, kIdentityFile, runtime::FileWriteMode::Replace, {text.begin(), text.end()}}});
  if (!results.front().error.empty()) {
    throw Error(ErrorKind::InputOutput, results.front().error, "make the data folder writable");
  }
  return id;
}

}  // namespace cometstand::store
