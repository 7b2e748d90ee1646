#include "consensus/record_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace cometstand::consensus {
namespace {

constexpr std::uint32_t kMagic = 0x43534c52;  // The bytes "RLSC" in the file.
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;

template <typename Integer>
void putInteger(std::vector<std::uint8_t>& bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    bytes.push_back(static_cast<std::uint8_t>(value >> (kBitsPerByte * i)));
  }
}

template <typename Integer>
Integer getInteger(std::span<const std::uint8_t> bytes) {
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<Integer>(bytes[i]) << (kBitsPerByte * i));
  }
  return value;
}

std::uint64_t checksum(std::span<const std::uint8_t> payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

template <typename Table, typename Object>
std::vector<std::uint8_t> encodeTable(const Object& object) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &object));
  const std::span<const std::uint8_t> payload(builder.GetBufferPointer(), builder.GetSize());
  std::vector<std::uint8_t> record;
  record.reserve(kRecordHeaderBytes + payload.size());
  putInteger(record, kMagic);
  putInteger(record, static_cast<std::uint32_t>(payload.size()));
  putInteger(record, checksum(payload));
  record.insert(record.end(), payload.begin(), payload.end());
  return record;
}

template <typename Table, typename Object>
std::optional<Object> decodeTable(std::span<const std::uint8_t> payload) {
  // FlatBuffers requires an aligned buffer. The payload may start at any offset of the file, so it is copied.
  std::vector<std::uint64_t> words(payload.size() / sizeof(std::uint64_t) + 1);
  auto* bytes = reinterpret_cast<std::uint8_t*>(words.data());
  std::copy(payload.begin(), payload.end(), bytes);
  flatbuffers::Verifier verifier(bytes, payload.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return std::nullopt;
  Object object;
  flatbuffers::GetRoot<Table>(bytes)->UnPackTo(&object);
  return object;
}

}  // namespace

std::vector<std::uint8_t> encodeRecord(const wire::LogEntryT& entry) {
  return encodeTable<wire::LogEntry>(entry);
}

std::vector<std::uint8_t> encodeRecord(const wire::HardStateT& state) {
  return encodeTable<wire::HardState>(state);
}

std::vector<std::uint8_t> encodeRecord(const wire::ConsensusSnapshotT& snapshot) {
  return encodeTable<wire::ConsensusSnapshot>(snapshot);
}

std::optional<std::span<const std::uint8_t>> findPayload(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kRecordHeaderBytes) return std::nullopt;
  if (getInteger<std::uint32_t>(bytes) != kMagic) return std::nullopt;
  const auto length = getInteger<std::uint32_t>(bytes.subspan(kLengthOffset));
  if (bytes.size() - kRecordHeaderBytes < length) return std::nullopt;
  const auto payload = bytes.subspan(kRecordHeaderBytes, length);
  if (checksum(payload) != getInteger<std::uint64_t>(bytes.subspan(kChecksumOffset))) return std::nullopt;
  return payload;
}

bool containsRecord(std::span<const std::uint8_t> bytes) {
  std::vector<std::uint8_t> magic;
  putInteger(magic, kMagic);
  auto position = bytes.begin();
  while (true) {
    position = std::search(position, bytes.end(), magic.begin(), magic.end());
    if (position == bytes.end()) return false;
    if (findPayload(std::span(position, bytes.end()))) return true;
    ++position;
  }
}

std::optional<wire::LogEntryT> decodeLogEntry(std::span<const std::uint8_t> payload) {
  return decodeTable<wire::LogEntry, wire::LogEntryT>(payload);
}

std::optional<wire::HardStateT> decodeHardState(std::span<const std::uint8_t> payload) {
  return decodeTable<wire::HardState, wire::HardStateT>(payload);
}

std::optional<wire::ConsensusSnapshotT> decodeSnapshot(std::span<const std::uint8_t> payload) {
  return decodeTable<wire::ConsensusSnapshot, wire::ConsensusSnapshotT>(payload);
}

}  // namespace cometstand::consensus
