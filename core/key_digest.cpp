#include "core/key_digest.h"

#include <openssl/evp.h>
#include <stdexcept>

namespace hawthornlug {

namespace {

constexpr std::string_view kPrefix = "sha256:";
constexpr std::string_view kDigits = "0123456789abcdef";

/// The value of a hexadecimal digit; nothing for any other character.
std::optional<unsigned> ValueOfDigit(char aChar)
{
  const char lower = aChar >= 'A' && aChar <= 'F' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  const std::size_t value = kDigits.find(lower);
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(value);
}

} // namespace

KeyDigest DigestOf(std::string_view aKey)
{
  KeyDigest digest;
  unsigned size = 0;
  const int done =
    EVP_Digest(aKey.data(), aKey.size(), digest.bytes.data(), &size, EVP_sha256(), nullptr);
  if (done != 1 || size != digest.bytes.size()) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return digest;
}

std::string ToText(const KeyDigest& aDigest)
{
  std::string text(kPrefix);
  for (const std::uint8_t it : aDigest.bytes) {
    text += kDigits[it >> 4];
    text += kDigits[it & 15];
  }
  return text;
}

std::optional<KeyDigest> FromText(std::string_view aText)
{
  KeyDigest digest;
  if (!aText.starts_with(kPrefix) || aText.size() != kPrefix.size() + 2 * digest.bytes.size()) {
    return std::nullopt;
  }
  std::size_t at = kPrefix.size();
  for (std::uint8_t& it : digest.bytes) {
    const auto high = ValueOfDigit(aText[at]);
    const auto low = ValueOfDigit(aText[at + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    it = static_cast<std::uint8_t>(*high << 4 | *low);
    at += 2;
  }
  return digest;
}

} // namespace hawthornlug
