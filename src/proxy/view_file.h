#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "runtime/process_core.h"
#include "view/view.h"

/// The file that holds a proxy's view in force: a whole view, then the deltas that followed it, so that a
/// change costs the disk its own size and not that of the view. Each record is a frame with checksum (see
/// net/frame_codec.h) behind a guard that repeats its length: a record cut short by a crash, which was never
/// in force, is told from one that was damaged later, and is dropped.
namespace cometstand::proxy {

/// Name of the file in the proxy's data folder that holds the view in force.
inline constexpr const char* kViewFile = "view";

/// @return one record with the whole view.
std::vector<std::uint8_t> encodeViewFile(const view::View& view);

/// @return one record with a delta, to be appended to a file that ends at the delta's from_version.
std::vector<std::uint8_t> encodeViewDelta(const wire::ViewDeltaT& delta);

/// @return the view that the bytes hold, checked as if it came from a relay. A record cut short at the end is
///     dropped.
/// @throw Error(Corrupt) if the bytes are damaged or hold no whole view.
view::ViewPointer decodeViewFile(std::span<const std::uint8_t> bytes);

/// How the next view goes to disk.
struct ViewWrite {
  runtime::FileWriteMode mode = runtime::FileWriteMode::Replace;
  std::vector<std::uint8_t> bytes;
};

/// Decides whether a view is appended as deltas or written whole. It is written whole when the appended
/// deltas would outweigh it: so a change costs about twice its own size in the mean, and a start reads at
/// most twice the view or kMinimumLogBytes.
class ViewFileLayout {
 public:
  static constexpr std::size_t kMinimumLogBytes = 64U * 1024U;

  /// @param deltas records that lead from the last view written to this one; empty if there are none.
  ViewWrite next(const view::View& view, std::vector<std::uint8_t> deltas);

 private:
  /// Of the whole view in the file; 0 until this process has written one, since what a crash left at the end
  /// of the file must not stand between records.
  std::size_t whole_bytes_ = 0;
  std::size_t log_bytes_ = 0;
};

}  // namespace cometstand::proxy
