/// @file
/// Statuses of answers to callers, by what they promise.
#pragma once

#include <optional>

namespace hawthornlug::http {

/// Statuses by which callers are told that their request has not run and never will.
enum class PromiseStatus
{
  kRequestTimeout = 408,
  kMisdirectedRequest = 421,
  kTooManyRequests = 429,
  kServiceUnavailable = 503,
};

/// Returns the promise that a status makes, if it makes one.
constexpr std::optional<PromiseStatus> PromiseOf(int aStatus)
{
  switch (static_cast<PromiseStatus>(aStatus)) {
    case PromiseStatus::kRequestTimeout:
    case PromiseStatus::kMisdirectedRequest:
    case PromiseStatus::kTooManyRequests:
    case PromiseStatus::kServiceUnavailable:
      return static_cast<PromiseStatus>(aStatus);
  }
  return std::nullopt;
}

/// The status of an answer that promises nothing.
class PlainStatus
{
public:
  static constexpr int kBadGateway = 502;
  static constexpr int kGatewayTimeout = 504;

  /// A status that is a promise is replaced by 502.
  explicit constexpr PlainStatus(int aStatus)
    : mValue(PromiseOf(aStatus) ? kBadGateway : aStatus)
  {
  }
  constexpr int Value() const { return mValue; }

private:
  int mValue;
};

} // namespace hawthornlug::http
