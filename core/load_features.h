/// @file
/// Features of the router for fleets under heavy load.
#pragma once

#include "core/enum_names.h"

#include <array>
#include <cstddef>

namespace hawthornlug {

/// A feature that the operators' settings ask for, and that can be switched off by itself.
enum class LoadFeature
{
  kContention,  ///< Daemons share the room of servers that many of them wait for.
  kRequestCost, ///< Servers are chosen by the cost of requests and by outstanding work.
  kPlacement,   ///< Moves of keys are limited by what moving costs instead of by number.
};
inline constexpr EnumNames<3> kLoadFeatureNames = { "contention", "request-cost", "placement" };

/// The features that are on; none by default.
class LoadFeatures
{
public:
  static LoadFeatures All()
  {
    LoadFeatures features;
    features.mIsOn.fill(true);
    return features;
  }

  void Set(LoadFeature aFeature, bool aIsOn) { mIsOn.at(IndexOf(aFeature)) = aIsOn; }
  bool Has(LoadFeature aFeature) const { return mIsOn.at(IndexOf(aFeature)); }
  bool operator==(const LoadFeatures& aOther) const = default;

private:
  static std::size_t IndexOf(LoadFeature aFeature) { return static_cast<std::size_t>(aFeature); }

  std::array<bool, kLoadFeatureNames.size()> mIsOn{};
};

} // namespace hawthornlug
