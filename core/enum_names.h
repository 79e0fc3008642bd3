/// @file
/// Tables that map the values of enumerations to their names and back.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hawthornlug {

/// The names of an enumeration whose values are 0, 1, 2, ...; the name of value n is at index n.
template<std::size_t N>
using EnumNames = std::array<std::string_view, N>;

/// Returns the name of @p aValue in @p aNames, or "invalid" if the table has no entry for it.
template<typename E, std::size_t N>
constexpr std::string_view NameOf(const EnumNames<N>& aNames, E aValue)
{
  const auto n = static_cast<std::size_t>(aValue);
  return n < N ? aNames.at(n) : std::string_view("invalid");
}

/// Returns the value whose name in @p aNames is @p aName, if there is one.
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
