#pragma once

#include <boost/spirit/home/x3.hpp>
#include <string>
#include <string_view>

/// Parts of the grammar that Boost.Spirit X3 does not bring: whole-word keywords, and parsers with a label
/// for error messages. Included only by the files of the grammar.
namespace cometstand::command::grammar {

namespace x3 = boost::spirit::x3;

inline bool isNameCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  const bool alphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
  return alphanumeric || character == '.' || character == '_' || character == '-';
}

/// Matches one whole word.
struct Keyword : x3::parser<Keyword> {
  using attribute_type = x3::unused_type;
  static constexpr bool has_attribute = false;

  explicit Keyword(std::string_view keyword) : text(keyword) {}

  template <typename Iterator, typename Context, typename Attribute>
  bool parse(Iterator& first, const Iterator& last, const Context& context, x3::unused_type /*rule*/,
             Attribute& /*attribute*/) const {
    x3::skip_over(first, last, context);
    auto position = first;
    for (const char expected : text) {
      if (position == last || *position != expected) return false;
      ++position;
    }
    if (position != last && isNameCharacter(*position)) return false;
    first = position;
    return true;
  }

  std::string_view text;
};

/// A parser whose failure is reported as "expected <label>".
template <typename Subject>
struct Labeled : x3::unary_parser<Subject, Labeled<Subject>> {
  static constexpr bool is_pass_through_unary = true;
  static constexpr bool handles_container = Subject::handles_container;

  Labeled(std::string_view label_text, const Subject& subject)
      : x3::unary_parser<Subject, Labeled<Subject>>(subject), label(label_text) {}

  template <typename Iterator, typename Context, typename RuleContext, typename Attribute>
  bool parse(Iterator& first, const Iterator& last, const Context& context, RuleContext& rule_context,
             Attribute& attribute) const {
    return this->subject.parse(first, last, context, rule_context, attribute);
  }

  std::string_view label;
};

inline Keyword keyword(std::string_view text) { return Keyword(text); }

/// Gives a parser the label that follows "expected" in an error message.
template <typename Parser>
auto labeled(std::string_view label, const Parser& parser) {
  using Subject = typename x3::extension::as_parser<Parser>::value_type;
  return Labeled<Subject>(label, x3::as_parser(parser));
}

/// @return a semantic action that stores the attribute in a member of the rule's value.
template <typename Member>
auto into(Member member) {
  return [member](auto& context) { x3::_val(context).*member = std::move(x3::_attr(context)); };
}

/// A semantic action that makes the attribute the rule's value.
inline const auto kEmit = [](auto& context) { x3::_val(context) = std::move(x3::_attr(context)); };

/// @return a semantic action that makes a default Value the rule's value.
template <typename Value>
auto emitDefault() {
  return [](auto& context) { x3::_val(context) = Value{}; };
}

}  // namespace cometstand::command::grammar

namespace boost::spirit::x3 {

template <>
struct get_info<cometstand::command::grammar::Keyword> {
  using result_type = std::string;
  std::string operator()(const cometstand::command::grammar::Keyword& parser) const {
    return std::string(parser.text);
  }
};

template <typename Subject>
struct get_info<cometstand::command::grammar::Labeled<Subject>> {
  using result_type = std::string;
  std::string operator()(const cometstand::command::grammar::Labeled<Subject>& parser) const {
    return std::string(parser.label);
  }
};

}  // namespace boost::spirit::x3
