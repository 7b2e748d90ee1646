#include "operator/binary_text.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace cometstand::command {
namespace {

constexpr std::size_t kBase64Group = 4;
constexpr std::size_t kBytesPerGroup = 3;

bool isBase64Character(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return (byte < 0x80 && std::isalnum(byte) != 0) || character == '+' || character == '/';
}

}  // namespace

std::optional<Bytes> decodeHex(std::string_view text) {
  try {
    Bytes bytes;
    boost::algorithm::unhex(text, std::back_inserter(bytes));
    return bytes;
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
}

std::string encodeHex(std::span<const std::uint8_t> bytes) {
  std::string text;
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
  return text;
}

std::optional<Bytes> decodeBase64(std::string_view text) {
  // EVP_DecodeBlock takes white space and padding in places where they do not belong.
  const auto padding_begin = std::min(text.find('='), text.size());
  const auto padding = text.size() - padding_begin;
  const auto body = text.substr(0, padding_begin);
  const bool well_formed = text.size() % kBase64Group == 0 && padding < kBytesPerGroup &&
                           std::all_of(body.begin(), body.end(), isBase64Character) &&
                           text.substr(padding_begin) == std::string_view("==").substr(0, padding);
  if (!well_formed) return std::nullopt;
  Bytes bytes(text.size() / kBase64Group * kBytesPerGroup);
  const auto* input = reinterpret_cast<const unsigned char*>(text.data());
  const int length = EVP_DecodeBlock(bytes.data(), input, static_cast<int>(text.size()));
  if (length < 0) return std::nullopt;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

std::string encodeBase64(std::span<const std::uint8_t> bytes) {
  const auto length = (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup * kBase64Group;
  std::string text(length + 1, '\0');  // EVP_EncodeBlock ends with a zero byte.
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(),
                  static_cast<int>(bytes.size()));
  text.resize(length);
  return text;
}

}  // namespace cometstand::command
