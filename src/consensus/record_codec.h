#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "schema/consensus_generated.h"

/// Encoding of the records in the files of the consensus module. A record is a 16-byte header followed by the
/// payload, a FlatBuffers table. The header consists of a 32-bit magic number, the 32-bit payload length and
/// the 64-bit XXH3 checksum of the payload, seeded with the payload length. All integers are little-endian.
namespace cometstand::consensus {

inline constexpr std::size_t kRecordHeaderBytes = 16;

std::vector<std::uint8_t> encodeRecord(const wire::LogEntryT& entry);
std::vector<std::uint8_t> encodeRecord(const wire::HardStateT& state);
std::vector<std::uint8_t> encodeRecord(const wire::ConsensusSnapshotT& snapshot);

/// @return the payload of the record at the start of the bytes, or nothing if that record is incomplete or
/// invalid.
std::optional<std::span<const std::uint8_t>> findPayload(std::span<const std::uint8_t> bytes);

/// @return true if a valid record starts at any position in the bytes.
bool containsRecord(std::span<const std::uint8_t> bytes);

/// The decode functions return nothing if the payload is not a valid FlatBuffers table of their type.
std::optional<wire::LogEntryT> decodeLogEntry(std::span<const std::uint8_t> payload);
std::optional<wire::HardStateT> decodeHardState(std::span<const std::uint8_t> payload);
std::optional<wire::ConsensusSnapshotT> decodeSnapshot(std::span<const std::uint8_t> payload);

}  // namespace cometstand::consensus
