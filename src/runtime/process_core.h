#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "net/peer_identity.h"
#include "runtime/connect_limit.h"
#include "schema/control_generated.h"

namespace cometstand::runtime {

/// Names one connection between two processes. Chosen by the core for outgoing connections and by the runner
/// for incoming ones; the two ranges do not overlap and no value is used twice by one process.
enum class LinkId : std::uint64_t {};

/// Incoming links get ids from here upwards.
inline constexpr std::uint64_t kFirstIncomingLink = 1ULL << 62U;

/// Names one file operation of a core. Chosen by the core, rising.
enum class WriteId : std::uint64_t {};

using cometstand::Address;
using net::PeerIdentity;

using MessagePointer = std::shared_ptr<const wire::EnvelopeT>;

struct OutgoingMessage {
  LinkId link;
  MessagePointer message;
};

struct ConnectOrder {
  LinkId link;
  Address address;
  Duration time_limit = kConnectTimeLimit;
};

enum class FileWriteMode : std::uint8_t {
  /// Adds bytes at the file's end, then syncs.
  Append,
  /// Replaces the whole file atomically: temporary file, sync, rename, sync of the folder.
  Replace,
  /// Removes the file, then syncs the folder.
  Remove,
};

/// One durable change of a file in the process's data folder. Operations of one core run one at a time in the
/// order they were asked for; the bytes count as stored only once onFileWritten() names the operation.
struct FileWrite {
  WriteId id;
  /// Plain file name, without folders.
  std::string file;
  FileWriteMode mode = FileWriteMode::Append;
  std::vector<std::uint8_t> bytes;
};

/// What a core asks its runner to do, in this order: files, connects, messages, closes.
struct Actions {
  std::vector<FileWrite> writes;
  std::vector<ConnectOrder> connects;
  std::vector<OutgoingMessage> messages;
  /// Closed after all messages to them are written.
  std::vector<LinkId> closes;
};

/// Reads the data folder while a core starts.
class FileReader {
 public:
  virtual ~FileReader() = default;

  /// @return the file's bytes, or nothing if there is no such file.
  /// @throw Error(InputOutput) if the file exists but cannot be read.
  virtual std::optional<std::vector<std::uint8_t>> read(const std::string& file) const = 0;

  /// @return the names of all files in the data folder, sorted.
  virtual std::vector<std::string> list() const = 0;
};

/// The decision logic of one process. It owns no socket, file, thread or clock: the runner hands it events
/// with the time and carries out the actions it asks for. The Asio runner (process_runner.h) drives it in the
/// programs, the simulator in rehearsal. Not thread-safe: one thread or event drives it.
class ProcessCore {
 public:
  virtual ~ProcessCore() = default;

  /// Recovers from the data folder. Called once, first.
  /// @throw Error(Corrupt) if stored data fails its checks; the message names the file and the remedy.
  virtual void start(const FileReader& files, TimePoint now) = 0;

  /// A link is ready: an incoming one, or one asked for by a ConnectOrder.
  virtual void onLinkOpened(LinkId link, const PeerIdentity& peer, TimePoint now) = 0;

  /// A link ended or could not be opened. Its id is never used again.
  virtual void onLinkClosed(LinkId link, TimePoint now) = 0;

  virtual void onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) = 0;

  /// The operation is synced to disk.
  virtual void onFileWritten(WriteId write, TimePoint now) = 0;

  /// The operation failed; what the file holds is not known. Later operations were not tried.
  virtual void onFileFailed(WriteId write, const std::string& reason, TimePoint now) = 0;

  /// Called at or after nextTimer().
  virtual void onTimer(TimePoint now) = 0;

  /// @return when onTimer() is wanted next; TimePoint::max() for never.
  virtual TimePoint nextTimer() const = 0;

  /// @return what is to be done since the last call. The runner calls it after each event.
  virtual Actions takeActions() = 0;

  /// Begins a planned stop: nothing in flight is cut. May be called twice.
  virtual void beginStop(TimePoint now) = 0;

  /// @return true while the process may exit after a planned stop; false before one began. The core is still
  /// called, and what comes may turn it to false again.
  virtual bool stopped() const = 0;

  /// The planned stop ends now, whatever comes: nothing new may be begun. No timer is called any more, and
  /// the links close.
  virtual void onStopEnding(TimePoint /*now*/) {}
};

/// @return an envelope that carries the given message table.
template <typename Message>
wire::EnvelopeT makeEnvelope(Message message, std::uint64_t request_id = 0) {
  wire::EnvelopeT envelope;
  envelope.request_id = request_id;
  envelope.body.Set(std::move(message));
  return envelope;
}

}  // namespace cometstand::runtime
