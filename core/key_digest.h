/// @file
/// SHA-256 digests of the keys that organisations' callers present.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlug {

/// The SHA-256 digest of a key. Keys are kept and compared as digests only, so that the time that a
/// comparison takes reveals nothing about a key.
struct KeyDigest
{
  std::array<std::uint8_t, 32> bytes{};

  bool operator==(const KeyDigest&) const = default;
  // False positive: the linter takes the literal 0 in the generated comparison for a null pointer.
  auto operator<=>(const KeyDigest&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Returns the digest of @p aKey. Throws std::runtime_error if the library can't compute it, which
/// is the case only when there is no memory.
KeyDigest DigestOf(std::string_view aKey);

/// Returns "sha256:" and 64 lower-case hexadecimal digits.
std::string ToText(const KeyDigest& aDigest);

/// Parses what ToText() returns, with digits of either case; nothing for any other text.
std::optional<KeyDigest> FromText(std::string_view aText);

} // namespace hawthornlug

template<>
struct std::hash<hawthornlug::KeyDigest>
{
  /// A part of the digest; its bytes are evenly distributed.
  std::size_t operator()(const hawthornlug::KeyDigest& aDigest) const noexcept
  {
    std::size_t value = 0;
    std::memcpy(&value, aDigest.bytes.data(), sizeof(value));
    return value;
  }
};
