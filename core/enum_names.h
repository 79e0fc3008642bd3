/// @file
/// Tables of names for enumerations.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hawthornlug {

/// Names of the values of an enumeration that counts up from 0.
template<std::size_t N>
using EnumNames = std::array<std::string_view, N>;

/// Returns the name of @p aValue in @p aNames.
template<typename E, std::size_t N>
constexpr std::string_view NameOf(const EnumNames<N>& aNames, E aValue)
{
  const auto n = static_cast<std::size_t>(aValue);
  return n < N ? aNames.at(n) : std::string_view("invalid");
}

/// Returns the value that @p aNames calls @p aName, if any.
template<typename E, std::size_t N>
constexpr std::optional<E> ValueOf(const EnumNames<N>& aNames, std::string_view aName)
{
  for (std::size_t n = 0; n < N; ++n) {
    if (aNames.at(n) == aName) {
      return static_cast<E>(n);
    }
  }
  return std::nullopt;
}

} // namespace hawthornlug
