/// @file
/// A shared value that many threads read while another thread replaces it.
#pragma once

#include <memory>
#include <mutex>

namespace hawthornlug {

/// Holds an immutable value. A reader may keep the value that it loaded as long as it needs it,
/// also after Store() has replaced it.
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
    // Declared before the lock, so that the replaced value is destroyed after the lock is released.
    Pointer next = std::make_shared<const T>(std::move(aValue));
    const std::lock_guard lock(mMutex);
    mValue.swap(next);
  }

private:
  mutable std::mutex mMutex;
  Pointer mValue = std::make_shared<const T>();
};

} // namespace hawthornlug
