/// @file
/// Messages between daemons.
#pragma once

#include "core/ids.h"
#include "proto/peer.pb.h"

#include <functional>
#include <string>

namespace hawthornlug {

/// How long a message may wait for its connection.
enum class Delivery
{
  kNowOrNever, ///< Dropped unless the connection stands: an order must never wait.
  kSoon,       ///< May wait a moment for the connection: an answer does no harm when it is late.
};

/// Sends and receives messages without blocking. A message is delivered at most once, or not.
class PeerPort
{
public:
  using Receiver = std::function<void(wire::Envelope)>;
  using Unsent = std::function<void()>;

  virtual ~PeerPort() = default;

  /// Sets who takes messages; called on the port's own thread, so it must not block.
  virtual void SetReceiver(Receiver aReceiver) = 0;
  /// Sends to the daemon at @p aEndpoint. @p aUnsent is called if for certain nothing was sent.
  virtual void Send(const std::string& aEndpoint,
                    wire::Envelope aMessage,
                    Delivery aDelivery,
                    Unsent aUnsent) = 0;
  /// Whether the host refuses connections to @p aEndpoint: no process listens there. Blocks.
  virtual bool IsRefused(const std::string& aEndpoint) = 0;
};

} // namespace hawthornlug
