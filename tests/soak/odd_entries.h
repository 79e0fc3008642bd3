/// @file
/// Entries of kind "servers" as another writer might leave them in the store.
#pragma once

#include "tests/support/platform_fleet.h"

#include <array>
#include <string>

namespace hawthornlug::test {

/// Entries that name no server to use.
inline std::array<Json, 6> OddSpecs()
{
  return { Json("no entry at all"),
           Json{ { "Service", "keyed" }, { "State", "ready" } },
           Json{ { "Service", "keyed" }, { "State", "odd" }, { "Address", 7 }, { "born", "x" } },
           Json{ { "Service", "keyed" }, { "State", "ready" }, { "Address", "127.0.0.1:70000" } },
           Json{ { "Service", Json::array({ 1 }) }, { "born", -1.5 }, { "Seq", nullptr } },
           Json(nullptr) };
}

/// Names for them that are no ordinary ids.
inline std::array<std::string, 6> OddNames()
{
  return { "i-odd-1", "i-1&Watch=1", "i-2+3 4", "i-3#%41?/", "i-4\r\nX: y", "i-5\xC3\xA4" };
}

/// Objects that can't be read, not even their names.
inline std::array<const char*, 4> UnreadableObjects()
{
  return {
    "null", "\xFF", R"({"Metadata":{"Revision":5},"Spec":{}})", "{\"Metadata\":{\"Name\":\"\xFF\"}}"
  };
}

} // namespace hawthornlug::test
