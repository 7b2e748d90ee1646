#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cometstand::mesh {

/// Which start of a target something is said of. A target that starts again may keep its id; it then knows
/// nothing of before, and what was said of it, or by it, before holds no more. So state is kept under the
/// incarnation, never under the id.
struct Incarnation {
  std::string id;
  static constexpr char kNameSeparator = '@';

  /// Time of its start by its own clock, in Unix milliseconds; 0 if it does not say.
  std::uint64_t born_ms = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;  // NOLINT(modernize-use-nullptr)
  friend bool operator==(const Incarnation&, const Incarnation&) = default;

  bool empty() const { return id.empty(); }
  /// @return true if both may be the same one: where a start time is not known, only the ids are compared.
  bool matches(const Incarnation& other) const {
    return id == other.id && (born_ms == other.born_ms || born_ms == 0 || other.born_ms == 0);
  }
  /// @return true if the text names this incarnation, or one that matches it.
  bool isNamed(std::string_view text) const {
    return text == name() || text == id || (born_ms == 0 && text.starts_with(id + kNameSeparator));
  }
  /// @return a text that no other incarnation has, for records and logs: the id, with the time of the start
  /// behind it if it is known.
  std::string name() const { return born_ms == 0 ? id : id + kNameSeparator + std::to_string(born_ms); }
};

}  // namespace cometstand::mesh
