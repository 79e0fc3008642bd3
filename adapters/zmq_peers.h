/// @file
/// Messages between daemons over ZeroMQ.
#pragma once

#include "ports/peer_port.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <zmq.hpp>

namespace hawthornlug {

/// PeerPort that uses ZeroMQ: one listening socket, and one connection to each daemon that messages
/// are sent to. A Delivery::kNowOrNever message that can't be sent immediately is dropped and
/// reported as unsent. A Delivery::kSoon message is queued instead and retried for at most a
/// second, then dropped and reported as unsent.
class ZmqPeers : public PeerPort
{
public:
  /// When received messages are passed on.
  enum class Receiving
  {
    kAtOnce,     ///< On a thread of the port's own.
    kWhenPolled, ///< By Poll(): a wake-up of a thread for each message costs more than the message.
  };

  /// Listens on @p aEndpoint, such as tcp://127.0.0.1:7000. Throws zmq::error_t if that fails.
  explicit ZmqPeers(const std::string& aEndpoint, Receiving aReceiving = Receiving::kAtOnce);
  ~ZmqPeers() override;
  ZmqPeers(const ZmqPeers&) = delete;
  ZmqPeers& operator=(const ZmqPeers&) = delete;

  void SetReceiver(Receiver aReceiver) override;
  void Poll() override;
  void Send(const std::string& aEndpoint,
            wire::Envelope aMessage,
            Delivery aDelivery,
            Unsent aUnsent) override;
  bool IsRefused(const std::string& aEndpoint) override;
  /// Ends the thread; no message is received or retried afterwards.
  void Stop();

private:
  struct QueuedMessage
  {
    std::string endpoint;
    wire::Envelope message;
    Unsent unsent;
    /// When it is given up.
    std::chrono::steady_clock::time_point expiresAt;
  };

  void Run();
  /// Sends queued messages whose connections have been established, and reports those that were
  /// given up. Returns whether any are left.
  bool RetryQueuedMessages();
  /// Passes on up to kMaxReceiveBatch messages; returns whether there may be more.
  bool ReceiveBatch();
  /// Returns false if the connection is not established or its send queue is full.
  bool TrySend(const QueuedMessage& aItem);
  zmq::socket_t& SocketTo(const std::string& aEndpoint);
  void Wake() const;

  Receiving mReceiving;
  zmq::context_t mContext;
  zmq::socket_t mListener;
  int mWakeFd;
  std::mutex mMutex;
  Receiver mReceiver;
  /// Guards mSockets and mRetryQueue, which all sending threads use.
  std::mutex mSendMutex;
  std::map<std::string, zmq::socket_t> mSockets;
  /// Messages with Delivery::kSoon that wait for their connections.
  std::deque<QueuedMessage> mRetryQueue;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace hawthornlug
