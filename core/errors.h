/// @file
/// Failure types. Each failure is a type; texts are made only where a person reads them.
#pragma once

#include "core/enum_names.h"

#include <boost/leaf.hpp>

#include <string>

namespace hawthornlug {

namespace leaf = boost::leaf;

template<typename T>
using Result = leaf::result<T>;

/// Why a platform call failed.
enum class PlatformError
{
  kNotFound,    ///< There is no such object.
  kConflict,    ///< The expected version was not the current one; nothing was written.
  kUnavailable, ///< The platform did not take the call; nothing was written.
  kUnknown,     ///< No answer came; a write may or may not have taken effect.
  kMalformed,   ///< The answer could not be read.
};
inline constexpr EnumNames<5> kPlatformErrorNames = { "not-found",
                                                      "conflict",
                                                      "unavailable",
                                                      "unknown",
                                                      "malformed" };

/// Why a control call to a backend server failed.
enum class ServerError
{
  kUnreachable, ///< Nothing was sent.
  kNoAnswer,    ///< Sent, but no answer came in time.
  kSuperseded,  ///< The server has accepted a higher token.
  kIncarnation, ///< The server has been restarted since.
  kMalformed,   ///< The answer could not be read.
};
inline constexpr EnumNames<5> kServerErrorNames = { "unreachable",
                                                    "no-answer",
                                                    "superseded",
                                                    "incarnation",
                                                    "malformed" };

/// Why a configuration was refused.
enum class ConfigErrorKind
{
  kUnreadable,
  kSyntax,
  kDuplicateKey,
  kUnknownField,
  kMissingField,
  kBadValue,
  kUnknownDomain,
  kDuplicateName,
  kImmutable,
};
inline constexpr EnumNames<9> kConfigErrorNames = {
  "unreadable", "syntax",         "duplicate-key",  "unknown-field", "missing-field",
  "bad-value",  "unknown-domain", "duplicate-name", "immutable"
};

/// A refusal of a configuration and the place it refers to.
struct ConfigError
{
  ConfigErrorKind kind = ConfigErrorKind::kSyntax;
  std::string where;
  std::string what;
};

/// A refusal of a flag or an environment variable.
struct SettingError
{
  std::string setting;
  std::string reason;
};

/// A listening socket could not be opened.
struct ListenError
{
  std::string address;
};

} // namespace hawthornlug
