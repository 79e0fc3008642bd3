/// @file
/// The asynchronous HTTP/1.1 client: keeps connections and sends one request at a time on each.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"
#include "http/call.h"
#include "http/message_reader.h"

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hawthornlug::http {

/// How a call ended.
enum class CallResult
{
  kAnswered,
  kRefused,  ///< The port refused the connection: nothing listens there. Nothing was sent.
  kNotSent,  ///< No connection came about; nothing was sent.
  kBroken,   ///< Sent, but the connection ended or what came was no whole answer.
  kTimedOut, ///< Sent, and no answer came in time; the connection was closed.
};
inline constexpr EnumNames<5> kCallResultNames = { "answered",
                                                   "refused",
                                                   "not-sent",
                                                   "broken",
                                                   "timed-out" };

/// What came of a call.
struct CallOutcome
{
  CallResult result = CallResult::kNotSent;
  /// Set if answered.
  Response response;
  /// Whether the call went over a connection that had been used before.
  bool reused = false;
};

/// How to make a call.
struct CallOptions
{
  /// When to give up, counted from now.
  Duration timeout = seconds(1);
  /// A kept connection that has been idle for longer is not used.
  Duration maxIdle = seconds(8);
  /// Idle connections to the address that are kept.
  std::size_t keep = 16;
  /// An answer with another value in this header belongs to another call and is skipped.
  std::string echoHeader;
  std::string echoValue;
};

/// Makes calls to any number of addresses on the thread of the given context.
class Client
{
public:
  using Completion = std::function<void(CallOutcome)>;

  explicit Client(asio::io_context& aContext, ReadLimits aLimits = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends @p aRequest to @p aAddress ("1.2.3.4:80"). @p aDone is called once, never before this
  /// returns, and not at all after Cancel().
  std::shared_ptr<Call> Send(const std::string& aAddress,
                             const Request& aRequest,
                             const CallOptions& aOptions,
                             Completion aDone);

  class Connection;

private:
  std::shared_ptr<Connection> TakeIdle(const std::string& aAddress, Duration aMaxIdle);

  asio::io_context& mContext;
  ReadLimits mLimits;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> mIdle;
  /// Lets connections that outlive the client see that it is gone.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

/// Reads "1.2.3.4:80"; nothing if it is no address.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress);

} // namespace hawthornlug::http
