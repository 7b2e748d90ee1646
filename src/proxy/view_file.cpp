#include "proxy/view_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "net/frame_codec.h"
#include "view/view_builder.h"

namespace cometstand::proxy {
namespace {

constexpr std::size_t kLengthBytes = 4;
/// The record's length and its complement, both little-endian.
constexpr std::size_t kGuardBytes = 2 * kLengthBytes;
constexpr unsigned kBitsPerByte = 8;

[[noreturn]] void throwDamaged(const std::string& reason) {
  throw Error(ErrorKind::Corrupt, fmt::format("the view file is damaged: {}", reason),
              "no action is needed: the proxy fetches its view from a relay; check the disk if it repeats");
}

void appendLength(std::vector<std::uint8_t>& bytes, std::uint32_t length) {
  for (unsigned i = 0; i < kLengthBytes; ++i) {
    bytes.push_back(static_cast<std::uint8_t>(length >> (kBitsPerByte * i)));
  }
}

std::uint32_t readLength(std::span<const std::uint8_t> bytes) {
  std::uint32_t length = 0;
  for (unsigned i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::uint32_t>(bytes[i]) << (kBitsPerByte * i);
  }
  return length;
}

std::vector<std::uint8_t> encodeRecord(const wire::EnvelopeT& envelope) {
  const auto frame = net::encodeFrame(envelope);
  const auto length = static_cast<std::uint32_t>(frame.size());
  std::vector<std::uint8_t> record;
  record.reserve(kGuardBytes + frame.size());
  appendLength(record, length);
  appendLength(record, ~length);
  record.insert(record.end(), frame.begin(), frame.end());
  return record;
}

/// @param rest is left after the record. @return its frame; nothing if only a record cut short is left.
std::optional<std::span<const std::uint8_t>> takeRecord(std::span<const std::uint8_t>& rest) {
  if (rest.size() < kGuardBytes) return std::nullopt;
  const auto length = readLength(rest);
  if (readLength(rest.subspan(kLengthBytes)) != ~length) throwDamaged("a record's length differs");
  if (rest.size() - kGuardBytes < length) return std::nullopt;
  const auto frame = rest.subspan(kGuardBytes, length);
  rest = rest.subspan(kGuardBytes + length);
  return frame;
}

wire::EnvelopeT decodeFrame(std::span<const std::uint8_t> frame) {
  net::FrameDecoder decoder;
  decoder.append(frame);
  auto envelope = decoder.next();
  if (!envelope) throwDamaged("a record is incomplete");
  return std::move(*envelope);
}

/// @return the version after the delta.
std::uint64_t applyRecord(view::ViewBuilder& builder, std::uint64_t version, const wire::ViewDeltaT& delta) {
  if (delta.from_version != version || delta.to_version <= version) throwDamaged("a delta is out of place");
  for (const auto& change : delta.changes) builder.apply(change);
  if (!(builder.digest() == view::DigestSum::fromWire(delta.digest.get()))) {
    throwDamaged("a delta's digest differs");
  }
  return delta.to_version;
}

view::ViewPointer decodeRecords(std::span<const std::uint8_t> rest) {
  const auto first = takeRecord(rest);
  if (!first) throwDamaged("it is cut short");
  const auto whole = decodeFrame(*first);
  const auto* snapshot = whole.body.AsViewSnapshot();
  if (snapshot == nullptr) throwDamaged("it holds something else");
  auto view = view::applySnapshot(view::View(), *snapshot);
  std::uint64_t version = view->version();
  view::ViewBuilder builder(*view);
  while (const auto record = takeRecord(rest)) {
    const auto envelope = decodeFrame(*record);
    const auto* delta = envelope.body.AsViewDelta();
    if (delta == nullptr) throwDamaged("a record holds something else");
    version = applyRecord(builder, version, *delta);
  }
  return version == view->version() ? view : builder.finish(version);
}

}  // namespace

std::vector<std::uint8_t> encodeViewFile(const view::View& view) {
  return encodeRecord(runtime::makeEnvelope(view.toSnapshot()));
}

std::vector<std::uint8_t> encodeViewDelta(const wire::ViewDeltaT& delta) {
  return encodeRecord(runtime::makeEnvelope(delta));
}

view::ViewPointer decodeViewFile(std::span<const std::uint8_t> bytes) {
  try {
    return decodeRecords(bytes);
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::Corrupt) throw;
    throwDamaged(error.message());
  }
}

ViewWrite ViewFileLayout::next(const view::View& view, std::vector<std::uint8_t> deltas) {
  const bool fits = log_bytes_ + deltas.size() <= std::max(whole_bytes_, kMinimumLogBytes);
  if (whole_bytes_ > 0 && !deltas.empty() && fits) {
    log_bytes_ += deltas.size();
    return {runtime::FileWriteMode::Append, std::move(deltas)};
  }
  ViewWrite whole{runtime::FileWriteMode::Replace, encodeViewFile(view)};
  whole_bytes_ = whole.bytes.size();
  log_bytes_ = 0;
  return whole;
}

}  // namespace cometstand::proxy
