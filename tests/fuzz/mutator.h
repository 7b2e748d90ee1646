#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "base/random.h"

namespace cometstand::fuzz {

/// Cases of each fuzz test. Equal seeds give equal cases.
inline constexpr int kCases = 20'000;

/// Makes damaged copies of valid inputs.
class Mutator {
 public:
  /// @param fragments pieces of the input's language that are put in at random places.
  Mutator(std::uint64_t seed, std::vector<std::string> fragments = {})
      : random_(seed), fragments_(std::move(fragments)) {}

  RandomSource& random() { return random_; }

  template <typename Item>
  const Item& pick(const std::vector<Item>& items) {
    return items.at(random_.uniform(0, items.size() - 1));
  }

  /// @return a copy with one to four changes.
  std::string mutate(std::string bytes) {
    for (auto changes = random_.uniform(1, 4); changes > 0; --changes) change(bytes);
    return bytes;
  }

 private:
  enum class Kind : std::uint8_t { Flip, Replace, Remove, Repeat, Cut, Insert, Count };

  std::size_t place(const std::string& bytes) { return random_.uniform(0, bytes.size()); }

  void change(std::string& bytes) {
    const auto at = place(bytes);
    const auto length = std::min<std::size_t>(random_.uniform(1, 16), bytes.size() - at);
    switch (static_cast<Kind>(random_.uniform(0, static_cast<std::uint64_t>(Kind::Count) - 1))) {
      case Kind::Flip:
        if (at < bytes.size()) bytes[at] = static_cast<char>(bytes[at] ^ (1U << random_.uniform(0, 7)));
        break;
      case Kind::Replace:
        if (at < bytes.size()) bytes[at] = static_cast<char>(random_.uniform(0, 255));
        break;
      case Kind::Remove:
        bytes.erase(at, length);
        break;
      case Kind::Repeat:
        bytes.insert(at, bytes.substr(at, length));
        break;
      case Kind::Cut:
        if (random_.chance(0.2)) bytes.resize(at);
        break;
      case Kind::Insert:
      case Kind::Count:
        if (!fragments_.empty()) bytes.insert(at, pick(fragments_));
        break;
    }
  }

  RandomSource random_;
  std::vector<std::string> fragments_;
};

}  // namespace cometstand::fuzz
