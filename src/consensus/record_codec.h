#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "schema/consensus_generated.h"

/// Records as they stand in the files of the consensus module: a header of 16 bytes (magic number, payload
/// length, both 32 bits; XXH3 checksum of the payload, seeded with the length, 64 bits; little-endian), then
/// the payload, a FlatBuffers table.
namespace cometstand::consensus {

inline constexpr std::size_t kRecordHeaderBytes = 16;

std::vector<std::uint8_t> encodeRecord(const wire::LogEntryT& entry);
std::vector<std::uint8_t> encodeRecord(const wire::HardStateT& state);
std::vector<std::uint8_t> encodeRecord(const wire::ConsensusSnapshotT& snapshot);

/// @return the payload of the record at the start of the bytes, or nothing if there is no whole valid one.
std::optional<std::span<const std::uint8_t>> findPayload(std::span<const std::uint8_t> bytes);

/// @return true if a valid record starts anywhere in the bytes.
bool containsRecord(std::span<const std::uint8_t> bytes);

/// Each returns nothing if the payload is not such a table.
std::optional<wire::LogEntryT> decodeLogEntry(std::span<const std::uint8_t> payload);
std::optional<wire::HardStateT> decodeHardState(std::span<const std::uint8_t> payload);
std::optional<wire::ConsensusSnapshotT> decodeSnapshot(std::span<const std::uint8_t> payload);

}  // namespace cometstand::consensus
