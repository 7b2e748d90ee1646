#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "operator/binary_text.h"
#include "operator/command.h"
#include "operator/grammar_support.h"
#include "settings/units.h"

/// Names, numbers and other tokens of the language. Included only by the files of the grammar.
namespace cometstand::command::grammar {

// ---- Characters ---------------------------------------------------------------------------------

inline const auto kComment = '#' >> *(x3::char_ - x3::eol);
inline const auto kSkipper = x3::ascii::space | kComment;
inline const auto kNameCharacter = x3::ascii::alnum | x3::char_("._-");
inline const auto kWordEnd = !kNameCharacter;

/// @return a semantic action that converts the matched text; the match fails if the conversion does.
template <typename Convert>
auto convert(Convert function) {
  return [function](auto& context) {
    const auto& text = x3::_attr(context);
    auto value = function(std::string(text.begin(), text.end()));
    if (value) {
      x3::_val(context) = std::move(*value);
    } else {
      x3::_pass(context) = false;
    }
  };
}

/// Turns a parser of units.h, which throws, into one that gives nothing.
template <typename Parse>
auto withoutThrow(Parse parse) {
  return [parse](const std::string& text) -> std::optional<decltype(parse(text))> {
    try {
      return parse(text);
    } catch (const Error&) {
      return std::nullopt;
    }
  };
}

// ---- Names --------------------------------------------------------------------------------------

inline const auto kName = x3::rule<class NameRule, std::string>{} =
    x3::lexeme[x3::ascii::alnum >> *kNameCharacter];

inline const auto kObjectName = x3::rule<class ObjectNameRule, ObjectName>{} =
    x3::lexeme[kName[into(&ObjectName::name)] >> -('/' >> kName[([](auto& context) {
                                                     auto& value = x3::_val(context);
                                                     value.tenant = std::move(value.name);
                                                     value.name = std::move(x3::_attr(context));
                                                   })])];

inline const auto kPath = x3::rule<class PathRule, std::string>{} =
    x3::lexeme[x3::char_('/') >> *(x3::ascii::graph - x3::char_(";{}\"#"))];

// ---- Numbers, durations, addresses ----------------------------------------------------------------

template <typename Integer>
const auto kInteger = x3::lexeme[x3::uint_parser<Integer>{} >> kWordEnd];

inline const auto kDuration = x3::rule<class DurationRule, Duration>{} =
    x3::raw[x3::lexeme[+x3::ascii::alnum]][convert(withoutThrow(settings::parseDuration))];

/// A whole number of milliseconds that fits the schema's field.
inline const auto kMilliseconds = x3::rule<class MillisecondsRule, std::uint32_t>{} =
    kDuration[([](auto& context) {
      const Duration duration = x3::_attr(context);
      const auto milliseconds = ceilMilliseconds(duration);
      x3::_pass(context) = duration == std::chrono::milliseconds(milliseconds) &&
                           milliseconds <= std::numeric_limits<std::uint32_t>::max();
      x3::_val(context) = static_cast<std::uint32_t>(milliseconds);
    })];

inline const auto kAddress = x3::rule<class AddressRule, runtime::Address>{} =
    x3::raw[x3::lexeme[+(x3::ascii::xdigit | x3::char_(".:[]"))]]
           [convert(withoutThrow(settings::parseAddress))];

// ---- Bytes ----------------------------------------------------------------------------------------

inline const auto kHex = x3::rule<class HexRule, Bytes>{} =
    x3::raw[x3::lexeme[+x3::ascii::alnum]][convert(decodeHex)];

inline const auto kBase64 = x3::rule<class Base64Rule, Bytes>{} =
    x3::lexeme['"' >> x3::raw[*(x3::char_ - '"')][convert(decodeBase64)] >> '"'];

inline const auto kEscape = [] {
  x3::symbols<char> symbols;
  symbols.add("\\n", '\n')("\\t", '\t')("\\\"", '"')("\\\\", '\\');
  return symbols;
}();

inline const auto kHexEscape = "\\x" >> x3::uint_parser<std::uint8_t, 16, 2, 2>{};

inline const auto kAppendByte = [](auto& context) {
  x3::_val(context).push_back(static_cast<std::uint8_t>(x3::_attr(context)));
};

/// A string in quotes, with the escapes \n, \t, \", \\ and \xHH.
inline const auto kQuotedBytes = x3::rule<class QuotedRule, Bytes>{} =
    x3::lexeme['"' >>
               *(kEscape[kAppendByte] | kHexEscape[kAppendByte] | (x3::char_ - '"' - '\\')[kAppendByte]) >>
               '"'];

}  // namespace cometstand::command::grammar
