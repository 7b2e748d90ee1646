#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cometstand::overload {

/// Holds memory for clients and can give some of it back.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  /// Ends clients that hold memory without making progress. Must not change any charge before it returns: it
  /// is called while a charge is made, possibly by the same client.
  virtual void reclaim() = 0;
};

/// The one owner of a process's memory for bytes of clients: heads and bodies that are received, requests in
/// progress, and answers until they are delivered. Whatever holds such bytes keeps a Charge of their size, so
/// that the sum over all of them is bounded. Used by one thread.
///
/// Larger charges leave shares of the budget to smaller ones, so that neither a few uploads nor many bodies
/// keep ordinary requests out.
class MemoryBudget {
 public:
  /// Bytes held for one purpose. Gives them back when it goes.
  class Charge {
   public:
    /// Counts nothing.
    Charge() = default;
    /// @param budget must outlive the charge; nullptr counts nothing.
    explicit Charge(MemoryBudget* budget) : budget_(budget) {}
    ~Charge() { resize(0); }
    Charge(Charge&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Charge& operator=(Charge&& other) noexcept;
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// Changes the size, if the budget has room for the difference.
    /// @return false if it has not: the size stays as it is, and the holders are asked to reclaim memory.
    [[nodiscard]] bool tryResize(std::size_t bytes);
    /// Changes the size in any case, for bytes that are held already and must not be given up. The budget
    /// may be exceeded; only the least charges are admitted until it no longer is.
    void resize(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

   private:
    MemoryBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
  };

  /// Larger charges leave a share of the budget to those up to this size, which is that of a large document.
  static constexpr std::size_t kSmallChargeBytes = 1024 * 1024;
  /// Charges up to this size, which is that of a request without a body, have a share of their own: they are
  /// admitted while the budget is exceeded, so that a process under load can still say that it is ready.
  static constexpr std::size_t kLeastChargeBytes = 32 * 1024;

  /// @param limit_bytes sum of all charges that are not forced.
  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}

  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @param holder must outlive the budget's use.
  void addHolder(MemoryHolder& holder) { holders_.push_back(&holder); }
  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }
  /// @return the largest charge for which there is room if nothing else is held.
  std::size_t largestCharge() const { return limit_ - limit_ / kSmallChargesDivisor; }
  /// @return true if forced charges have exceeded the budget.
  bool isExceeded() const { return used_ > limit_; }
  /// @return true if holders should go on to reclaim memory.
  bool isNearlyFull() const { return used_ > limit_ - limit_ / kReclaimDivisor; }
  /// Gives memory back to the system that was charged and is not any more. To be called now and then.
  void releaseFreed();
  /// @return charges that found no room.
  std::uint64_t refusals() const { return refusals_; }

 private:
  /// The inverses of the shares of the budget that are left to charges up to kSmallChargeBytes, and to those
  /// up to kLeastChargeBytes.
  static constexpr std::size_t kSmallChargesDivisor = 8;
  static constexpr std::size_t kLeastChargesDivisor = 16;
  /// The inverse of the share of the budget that reclaiming leaves free.
  static constexpr std::size_t kReclaimDivisor = 4;
  /// The inverse of the share of the budget that the heap may retain.
  static constexpr std::size_t kRetainedDivisor = 4;
  /// Holders look at all of their clients.
  static constexpr Duration kReclaimInterval = std::chrono::milliseconds(50);

  /// @return true if a charge may grow from the one size to the other.
  bool hasRoom(std::size_t before, std::size_t after) const;
  void replace(std::size_t before, std::size_t after);
  void askHolders();
  /// @return bytes that the heap may still hold for charges that are gone.
  std::size_t retained() const { return peak_ - used_; }

  const std::size_t limit_;
  std::size_t used_ = 0;
  /// The part of it in charges of up to kLeastChargeBytes.
  std::size_t used_by_least_ = 0;
  /// The largest use since the heap was last released.
  std::size_t peak_ = 0;
  std::uint64_t refusals_ = 0;
  std::vector<MemoryHolder*> holders_;
  TimePoint reclaim_again_at_;
};

}  // namespace cometstand::overload
