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

/// PeerPort on ZeroMQ: one listening socket, and one connection for each daemon that is sent to.
/// Nothing waits for a peer that is away: such a message is dropped and reported as unsent.
class ZmqPeers : public PeerPort
{
public:
  /// Listens on @p aEndpoint, like tcp://127.0.0.1:7000. Throws zmq::error_t if that fails.
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
  /// Ends the thread; nothing is sent or received afterwards.
  void Stop();

private:
  struct Item
  {
    std::string endpoint;
    wire::Envelope message;
    Unsent unsent;
    unsigned triesLeft = 0;
  };

  void Run();
  void RetryWaiting();
  void Receive();
  /// Returns false if the connection does not stand or is full.
  bool TrySend(const Item& aItem);
  zmq::socket_t& SocketTo(const std::string& aEndpoint);
  void Wake() const;

  zmq::context_t mContext;
  zmq::socket_t mListener;
  int mWakeFd;
  std::mutex mMutex;
  Receiver mReceiver;
  /// Guards the sockets to peers, which are used by whichever thread sends.
  std::mutex mSendMutex;
  std::map<std::string, zmq::socket_t> mSockets;
  /// Answers that wait for their connections.
  std::deque<Item> mWaiting;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace hawthornlug
