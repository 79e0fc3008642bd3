/// @file
/// A value that many threads read while one replaces it.
#pragma once

#include <memory>
#include <mutex>

namespace hawthornlug {

/// Holds an immutable value; readers keep the one that they have loaded for as long as they like.
template<typename T>
class Snapshot
{
public:
  using Pointer = std::shared_ptr<const T>;

  Pointer Load() const
  {
    const std::lock_guard lock(mMutex);
    return mValue;
  }

  void Store(T aValue)
  {
    Pointer next = std::make_shared<const T>(std::move(aValue));
    // The replaced value is destroyed after the lock has been let go.
    const std::lock_guard lock(mMutex);
    mValue.swap(next);
  }

private:
  mutable std::mutex mMutex;
  Pointer mValue = std::make_shared<const T>();
};

} // namespace hawthornlug
