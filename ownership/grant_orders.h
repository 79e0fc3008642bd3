/// @file
/// Orders by which backend servers are given key ranges and lose them.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"
#include "ownership/key_range.h"

#include <string>

namespace hawthornlug {

/// How an order to grant or release keys came out.
enum class OrderResult
{
  kDone,
  kSuperseded,  ///< The server has seen a higher token.
  kOtherServer, ///< Another server is at the address; nothing was done.
  kRejected,    ///< The server can't read the order.
  kNotSent,     ///< Nothing was sent.
  kRefusedPort, ///< Nothing listens at the address.
  kNoAnswer,    ///< It may be carried out, also later.
};
inline constexpr EnumNames<7> kOrderResultNames = { "done",     "superseded", "other-server",
                                                    "rejected", "not-sent",   "refused-port",
                                                    "no-answer" };

struct GrantOrder
{
  std::string address;
  /// Only this server may take the order; another one may have its address by now.
  ServerRef server;
  KeyRange range;
  FencingToken token = 0;
  Duration hold = Duration::zero();
  /// What the last holder gave when it released the keys; empty if there is none.
  std::string handover;
};

struct ReleaseOrder
{
  std::string address;
  ServerRef server;
  KeyRange range;
  FencingToken token = 0;
};

struct OrderOutcome
{
  OrderResult result = OrderResult::kNotSent;
  std::string handover;
};

} // namespace hawthornlug
