/// @file
/// Messages between daemons over ZeroMQ.
#pragma once

#include "ports/peer_port.h"

#include <atomic>
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
/// second, then dropped without a report; it is reported as unsent only if the queue is full.
class ZmqPeers : public PeerPort
{
public:
  /// Listens on @p aEndpoint, such as tcp://127.0.0.1:7000. Throws zmq::error_t if that fails.
  explicit ZmqPeers(const std::string& aEndpoint);
  ~ZmqPeers() override;
  ZmqPeers(const ZmqPeers&) = delete;
  ZmqPeers& operator=(const ZmqPeers&) = delete;

  void SetReceiver(Receiver aReceiver) override;
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
    unsigned retriesLeft = 0;
  };

  void Run();
  void RetryQueuedMessages();
  void ReceiveBatch();
  /// Returns false if the connection is not established or its send queue is full.
  bool TrySend(const QueuedMessage& aItem);
  zmq::socket_t& SocketTo(const std::string& aEndpoint);
  void Wake() const;

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
