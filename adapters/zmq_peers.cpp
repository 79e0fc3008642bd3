#include "adapters/zmq_peers.h"

#include "core/task_guard.h"

#include <arpa/inet.h>
#include <array>
#include <asio.hpp>
#include <sys/eventfd.h>
#include <unistd.h>

namespace hawthornlug {

namespace {

constexpr int kIoThreads = 1;
constexpr int kSendHighWaterMark = 4096;
constexpr int kReconnectMs = 50;
/// At the end of the process, messages that were sent last have this long to leave it.
constexpr int kLingerMs = 100;
constexpr int kReconnectMaxMs = 200;
/// Maximum number of messages that are received before queued messages are retried.
constexpr std::size_t kMaxReceiveBatch = 256;
constexpr std::chrono::milliseconds kRetryInterval{ 5 };
/// How long a queued message waits for its connection.
constexpr std::chrono::seconds kMaxQueueTime{ 1 };
constexpr std::size_t kMaxRetryQueue = 10000;
/// Maximum number of batches that one poll passes on.
constexpr int kMaxPolledBatches = 8;
/// How long IsRefused() waits for the result of a TCP connection attempt.
constexpr std::chrono::milliseconds kConnectProbeTimeout{ 200 };
constexpr std::string_view kTcpScheme = "tcp://";

} // namespace

ZmqPeers::ZmqPeers(const std::string& aEndpoint, Receiving aReceiving)
  : mReceiving(aReceiving)
  , mContext(kIoThreads)
  , mListener(mContext, zmq::socket_type::router)
  , mWakeFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  mListener.set(zmq::sockopt::linger, 0);
  mListener.set(zmq::sockopt::rcvhwm, 0);
  mListener.bind(aEndpoint);
  if (mReceiving == Receiving::kAtOnce) {
    mThread = std::thread([this] { Run(); });
  }
}

ZmqPeers::~ZmqPeers()
{
  Stop();
  ::close(mWakeFd);
}

void ZmqPeers::Stop()
{
  if (mStopping.exchange(true)) {
    return;
  }
  Wake();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void ZmqPeers::Poll()
{
  if (mReceiving != Receiving::kWhenPolled || mStopping) {
    return;
  }
  for (int n = 0; n < kMaxPolledBatches && ReceiveBatch(); ++n) {
  }
  RetryQueuedMessages();
}

void ZmqPeers::SetReceiver(Receiver aReceiver)
{
  const std::lock_guard lock(mMutex);
  mReceiver = std::move(aReceiver);
}

void ZmqPeers::Send(const std::string& aEndpoint,
                    wire::Envelope aMessage,
                    Delivery aDelivery,
                    Unsent aUnsent)
{
  QueuedMessage item{ aEndpoint,
                      std::move(aMessage),
                      std::move(aUnsent),
                      std::chrono::steady_clock::now() + kMaxQueueTime };
  {
    // Sending on the calling thread avoids the latency of a switch to another thread.
    const std::lock_guard lock(mSendMutex);
    if (TrySend(item)) {
      return;
    }
    if (aDelivery == Delivery::kSoon && mRetryQueue.size() < kMaxRetryQueue) {
      mRetryQueue.push_back(std::move(item));
      Wake();
      return;
    }
  }
  if (item.unsent) {
    item.unsent();
  }
}

void ZmqPeers::Wake() const
{
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto n = ::write(mWakeFd, &one, sizeof one);
}

void ZmqPeers::Run()
{
  std::array<zmq::pollitem_t, 2> items = { { { mListener.handle(), 0, ZMQ_POLLIN, 0 },
                                             { nullptr, mWakeFd, ZMQ_POLLIN, 0 } } };
  bool hasQueued = false;
  while (!mStopping) {
    try {
      zmq::poll(
        items.data(), items.size(), hasQueued ? kRetryInterval : std::chrono::milliseconds(-1));
    } catch (const zmq::error_t& error) {
      if (error.num() == EINTR) {
        // A signal was delivered to this thread.
        continue;
      }
      throw;
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      std::uint64_t count = 0;
      [[maybe_unused]] const auto n = ::read(mWakeFd, &count, sizeof count);
    }
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      RunGuarded([this] { ReceiveBatch(); }, WriteTaskError);
    }
    hasQueued = RetryQueuedMessages();
  }
}

bool ZmqPeers::RetryQueuedMessages()
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<Unsent> unsent;
  bool left = false;
  {
    const std::lock_guard lock(mSendMutex);
    std::erase_if(mRetryQueue, [&](QueuedMessage& aItem) {
      if (TrySend(aItem)) {
        return true;
      }
      const bool expired = now >= aItem.expiresAt;
      if (expired && aItem.unsent) {
        unsent.push_back(std::move(aItem.unsent));
      }
      return expired;
    });
    left = !mRetryQueue.empty();
  }
  // Without the lock: the callers may send something else.
  for (const Unsent& it : unsent) {
    RunGuarded(it, WriteTaskError);
  }
  return left;
}

zmq::socket_t& ZmqPeers::SocketTo(const std::string& aEndpoint)
{
  const auto it = mSockets.find(aEndpoint);
  if (it != mSockets.end()) {
    return it->second;
  }
  zmq::socket_t socket(mContext, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, kLingerMs);
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::sndhwm, kSendHighWaterMark);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket.connect(aEndpoint);
  return mSockets.emplace(aEndpoint, std::move(socket)).first->second;
}

bool ZmqPeers::TrySend(const QueuedMessage& aItem)
{
  try {
    zmq::socket_t& socket = SocketTo(aItem.endpoint);
    const std::size_t size = aItem.message.ByteSizeLong();
    zmq::message_t buf(size);
    aItem.message.SerializeToArray(buf.data(), static_cast<int>(size));
    return socket.send(buf, zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t&) {
    return false;
  }
}

bool ZmqPeers::ReceiveBatch()
{
  Receiver receiver;
  {
    const std::lock_guard lock(mMutex);
    receiver = mReceiver;
  }
  for (std::size_t n = 0; n < kMaxReceiveBatch; ++n) {
    zmq::message_t sender;
    if (!mListener.recv(sender, zmq::recv_flags::dontwait)) {
      return false;
    }
    zmq::message_t body;
    if (!sender.more() || !mListener.recv(body, zmq::recv_flags::none)) {
      continue;
    }
    while (body.more()) {
      if (!mListener.recv(body, zmq::recv_flags::none)) {
        break;
      }
    }
    wire::Envelope envelope;
    const bool parsed = envelope.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (parsed && receiver) {
      receiver(std::move(envelope));
    }
  }
  return true;
}

bool ZmqPeers::IsRefused(const std::string& aEndpoint)
{
  if (aEndpoint.rfind(kTcpScheme, 0) != 0) {
    return false;
  }
  const std::string address = aEndpoint.substr(kTcpScheme.size());
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  asio::error_code ec;
  const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
  if (ec) {
    return false;
  }
  const auto port =
    static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  bool refused = false;
  socket.async_connect({ ip, port }, [&](const asio::error_code& aError) {
    refused = aError == asio::error::connection_refused;
  });
  context.run_for(kConnectProbeTimeout);
  return refused;
}

} // namespace hawthornlug
