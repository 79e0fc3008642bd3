/// @file
/// Error types. Errors are passed on as typed values; they are turned into text only where a person
/// reads them.
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
  kUnavailable, ///< The platform did not accept the call; nothing was written.
  kUnknown,     ///< No answer was received; a write may or may not have taken effect.
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
  kNoAnswer,    ///< Sent, but no answer was received within the timeout.
  kSuperseded,  ///< The server has accepted a higher fencing token.
  kIncarnation, ///< The server has restarted: its incarnation is not the expected one.
  kMalformed,   ///< The answer could not be read.
};
inline constexpr EnumNames<5> kServerErrorNames = { "unreachable",
                                                    "no-answer",
                                                    "superseded",
                                                    "incarnation",
                                                    "malformed" };

/// Why a configuration was rejected.
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

/// The reason why a configuration was rejected and the place that the reason refers to.
struct ConfigError
{
  ConfigErrorKind kind = ConfigErrorKind::kSyntax;
  /// File and line if they are known, then the path of the field.
  std::string where;
  /// The name at fault, or a message.
  std::string what;
};

/// The reason why a flag or an environment variable was rejected.
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
