/// @file
/// What the fuzz programs share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

/// Ends the program, which the fuzzer reports with its input, if @p aCondition does not hold.
#define CHECK_ALWAYS(aCondition)                                                                   \
  do {                                                                                             \
    if (!(aCondition)) {                                                                           \
      std::fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, #aCondition);                \
      std::abort();                                                                                \
    }                                                                                              \
  } while (false)

inline std::string_view TextFrom(const std::uint8_t* aData, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aData), aSize };
}
