/// @file
/// Sending and receiving messages between daemons.
#pragma once

#include "core/ids.h"
#include "proto/peer.pb.h"

#include <functional>
#include <string>

namespace hawthornlug {

/// Whether a message may wait until its connection is established.
enum class Delivery
{
  kNowOrNever, ///< Dropped unless the connection is established: an order must never wait.
  kSoon,       ///< May wait briefly for the connection: a late answer does no harm.
};

/// Sends and receives messages without blocking. A message is delivered at most once; it may be
/// lost.
class PeerPort
{
public:
  using Receiver = std::function<void(wire::Envelope)>;
  using Unsent = std::function<void()>;

  virtual ~PeerPort() = default;

  /// Sets the function that received messages are passed to. It is called on the port's own thread,
  /// so it must not block; or by Poll().
  virtual void SetReceiver(Receiver aReceiver) = 0;
  /// Passes on what has been received since the last call, on the calling thread. Does nothing in a
  /// port that passes messages on by itself.
  virtual void Poll() {}
  /// Sends a message to the daemon at @p aEndpoint. @p aUnsent is called if it is certain that
  /// nothing was sent; that it isn't called doesn't mean that the message was delivered.
  virtual void Send(const std::string& aEndpoint,
                    wire::Envelope aMessage,
                    Delivery aDelivery,
                    Unsent aUnsent) = 0;
  /// Whether the host refuses connections to @p aEndpoint, which means that no process listens
  /// there. Blocks.
  virtual bool IsRefused(const std::string& aEndpoint) = 0;
};

} // namespace hawthornlug
