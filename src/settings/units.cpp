#include "settings/units.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>

#include "base/error.h"

namespace cometstand::settings {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

// Smallest first.
constexpr std::array<Unit, 5> kDurationUnits{{
    {"us", 1},
    {"ms", 1'000},
    {"s", 1'000'000},
    {"m", 60'000'000},
    {"h", 3'600'000'000},
}};
constexpr std::array<Unit, 4> kSizeUnits{{
    {"B", 1},
    {"KiB", 1ULL << 10U},
    {"MiB", 1ULL << 20U},
    {"GiB", 1ULL << 30U},
}};

/// What one kind of quantity is called in messages.
struct Quantity {
  std::string_view noun;
  std::string_view remedy;
};

constexpr Quantity kDurationQuantity{
    "a duration", "write a whole number with one of the units us, ms, s, m, h, such as \"50ms\""};
constexpr Quantity kSizeQuantity{
    "a size", "write a whole number with one of the units B, KiB, MiB, GiB, such as \"64KiB\""};

Error notA(const Quantity& quantity, std::string_view text) {
  return Error(ErrorKind::Invalid, fmt::format("\"{}\" is not {}", text, quantity.noun),
               std::string(quantity.remedy));
}

template <std::size_t Count>
std::uint64_t parseWithUnit(std::string_view text, const std::array<Unit, Count>& units,
                            const Quantity& quantity) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) throw notA(quantity, text);
  const auto suffix = text.substr(static_cast<std::size_t>(end - text.data()));
  constexpr auto kLimit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  for (const auto& unit : units) {
    if (unit.suffix != suffix) continue;
    if (number > kLimit / unit.factor) throw notA(quantity, text);
    return number * unit.factor;
  }
  throw notA(quantity, text);
}

template <std::size_t Count>
std::string formatWithUnit(std::uint64_t value, const std::array<Unit, Count>& units) {
  const Unit* best = &units.front();
  for (const auto& unit : units) {
    if (value != 0 && value % unit.factor == 0) best = &unit;
  }
  return fmt::format("{}{}", value / best->factor, best->suffix);
}

Error notAnAddress(std::string_view text) {
  return Error(ErrorKind::Invalid, fmt::format("\"{}\" is not an address", text),
               "write an IP address and a port, such as \"127.0.0.1:7000\"; names are not looked up");
}

}  // namespace

Duration parseDuration(std::string_view text) {
  return Duration(static_cast<Duration::rep>(parseWithUnit(text, kDurationUnits, kDurationQuantity)));
}

std::string formatDuration(Duration duration) {
  return formatWithUnit(static_cast<std::uint64_t>(duration.count()), kDurationUnits);
}

std::uint64_t parseSize(std::string_view text) { return parseWithUnit(text, kSizeUnits, kSizeQuantity); }

std::string formatSize(std::uint64_t bytes) { return formatWithUnit(bytes, kSizeUnits); }

runtime::Address parseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) throw notAnAddress(text);
  auto host = text.substr(0, colon);
  const auto port_text = text.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error || ip.is_v6() != bracketed) throw notAnAddress(text);
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) throw notAnAddress(text);
  return {std::string(host), port};
}

std::string formatAddress(const runtime::Address& address) {
  const bool is_v6 = address.host.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", address.host, address.port)
               : fmt::format("{}:{}", address.host, address.port);
}

}  // namespace cometstand::settings
