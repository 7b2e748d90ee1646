#include "proxy/view_file.h"

#include <fmt/format.h>

#include "base/error.h"
#include "net/frame_codec.h"
#include "runtime/process_core.h"
#include "view/view_builder.h"

namespace cometstand::proxy {
namespace {

[[noreturn]] void throwDamaged(const std::string& reason) {
  throw Error(ErrorKind::Corrupt, fmt::format("the view file is damaged: {}", reason),
              "no action is needed: the proxy fetches its view from a relay; check the disk if it repeats");
}

}  // namespace

std::vector<std::uint8_t> encodeViewFile(const view::View& view) {
  return net::encodeFrame(runtime::makeEnvelope(view.toSnapshot()));
}

view::ViewPointer decodeViewFile(std::span<const std::uint8_t> bytes) {
  try {
    net::FrameDecoder decoder;
    decoder.append(bytes);
    const auto envelope = decoder.next();
    if (!envelope) throwDamaged("it is cut short");
    const auto* snapshot = envelope->body.AsViewSnapshot();
    if (snapshot == nullptr) throwDamaged("it holds something else");
    return view::applySnapshot(view::View(), *snapshot);
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::Corrupt) throw;
    throwDamaged(error.message());
  }
}

}  // namespace cometstand::proxy
