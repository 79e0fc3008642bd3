/// @file
/// Asynchronous HTTP/1.1 client with keep-alive connections; one request at a time on each.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"
#include "http/call.h"
#include "http/message_reader.h"
#include "limits/held_answers.h"

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
  kRefused,     ///< The port refused the connection: no process listens there. Nothing was sent.
  kNotSent,     ///< No connection was established; nothing was sent.
  kNotAccepted, ///< The server ended a new connection before anything was sent on it.
  kBroken,   ///< Sent, but the connection ended early or the response was malformed or incomplete.
  kTimedOut, ///< Sent, but no response arrived before the timeout; the connection was closed.
  kTooLarge, ///< Sent, but the response exceeded a limit on its size; the connection was closed.
};
inline constexpr EnumNames<7> kCallResultNames = { "answered",     "refused", "not-sent",
                                                   "not-accepted", "broken",  "timed-out",
                                                   "too-large" };

/// The result of a call.
struct CallOutcome
{
  CallResult result = CallResult::kNotSent;
  /// Valid if the result is kAnswered.
  Response response;
  /// Whether the call was sent on a connection that an earlier call had used.
  bool reused = false;
  /// Whether any bytes were received after the call was sent. If not, a connection that ended may
  /// just have been idle for too long.
  bool responseBegan = false;
};

/// Timeouts and connection reuse of one call.
struct CallOptions
{
  /// Maximum duration of the call, from Client::Send() to the complete response.
  Duration timeout = seconds(1);
  /// Connections that have been idle for longer than this are closed instead of reused.
  Duration maxIdle = seconds(8);
  /// Sends the call on a new connection, on which no answer to an earlier call can arrive.
  bool freshConnection = false;
  /// Waits on a new connection for about a round trip before the call is sent. A server with too
  /// many connections ends a new one at once; then it is certain that it has not got the call.
  bool awaitAcceptance = false;
  /// Maximum number of idle connections to the address that are kept for reuse.
  std::size_t keep = 16;
  /// If set: a response that has this header with a value other than echoValue belongs to another
  /// call and is skipped. A response without the header is accepted. The call is not sent on a
  /// connection that has carried an earlier one with this value: a copy of the answer to that one
  /// could not be told from the answer to this one.
  std::string echoHeader;
  std::string echoValue;
  /// If set: the connection is not reused after a response that has this header.
  std::string lastHeader;
};

/// Maximum sizes of responses.
struct ClientLimits
{
  std::size_t headerBytes = ReadLimits().headerBytes;
  /// Bodies: of one response, and of all that are being received.
  AnswerLimits bodies;
};

/// Sends requests to any number of addresses. To be used on the thread that runs the given context.
class Client
{
public:
  using Completion = std::function<void(CallOutcome)>;

  explicit Client(asio::io_context& aContext, const ClientLimits& aLimits = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends @p aRequest to @p aAddress ("1.2.3.4:80"). One that is malformed, so that a server could
  /// take it for another or for two, is not sent. @p aDone is called exactly once, after this
  /// function has returned; it is not called after Call::Cancel().
  std::shared_ptr<Call> Send(const std::string& aAddress,
                             const Request& aRequest,
                             const CallOptions& aOptions,
                             Completion aDone);
  /// Number of bytes of the responses that are being received.
  std::size_t BufferedBytes() const { return mHeldAnswers.Bytes(); }

  class Connection;

private:
  /// Takes an idle connection that may carry a call with these options; nullptr if there is none.
  std::shared_ptr<Connection> TakeIdle(const std::string& aAddress, const CallOptions& aOptions);
  /// Maximum number of bytes that one call may receive.
  std::size_t MaxReceivedBytes() const;
  /// Gives up responses until those that are left are within the limit.
  void EnforceLimit();

  asio::io_context& mContext;
  ReadLimits mReadLimits;
  HeldAnswers mHeldAnswers;
  HeldAnswers::AnswerId mLastAnswer = 0;
  /// The connections on which a response has been received in part.
  std::map<HeldAnswers::AnswerId, std::weak_ptr<Connection>> mReceiving;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> mIdle;
  /// False once the client is destroyed. Shared with the connections, which may outlive the client.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

/// Parses an IP address with port, such as "1.2.3.4:80". Returns nullopt if it is not valid.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress);

} // namespace hawthornlug::http
