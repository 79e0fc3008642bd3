/// @file
/// Flags of the stand-ins: pairs of --name and value.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace standins {

class Flags
{
public:
  Flags(int aCount, char** aWords)
  {
    for (int n = 1; n + 1 < aCount; n += 2) {
      mValues[aWords[n]] = aWords[n + 1];
    }
  }

  std::string Text(const std::string& aName, const std::string& aDefault) const
  {
    const auto it = mValues.find("--" + aName);
    return it == mValues.end() ? aDefault : it->second;
  }

  std::int64_t Number(const std::string& aName, std::int64_t aDefault) const
  {
    const auto it = mValues.find("--" + aName);
    return it == mValues.end() ? aDefault : std::stoll(it->second);
  }

  double Real(const std::string& aName, double aDefault) const
  {
    const auto it = mValues.find("--" + aName);
    return it == mValues.end() ? aDefault : std::stod(it->second);
  }

private:
  std::map<std::string, std::string> mValues;
};

} // namespace standins
