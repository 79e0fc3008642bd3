#include "tests/support/raw_server.h"

#include <array>

namespace hawthornlug::testing {

using Tcp = asio::ip::tcp;

class RawServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(RawServer& aServer, Tcp::socket aSocket)
    : mServer(aServer)
    , mServerAlive(aServer.mAlive)
    , mSocket(std::move(aSocket))
    , mReader(http::MessageReader::Mode::kRequests, http::ReadLimits())
  {
    asio::error_code ec;
    mSocket.set_option(Tcp::no_delay(true), ec);
  }

  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t aBytes) {
        if (aError) {
          self->Close();
          return;
        }
        self->mReader.Append({ self->mBuffer.data(), aBytes });
        self->TakeNext();
        self->Read();
      });
  }

  void Write(std::string aBytes, bool aEnds)
  {
    auto bytes = std::make_shared<std::string>(std::move(aBytes));
    asio::async_write(
      mSocket,
      asio::buffer(*bytes),
      [self = shared_from_this(), bytes, aEnds](const asio::error_code& aError, std::size_t) {
        if (aError || aEnds) {
          self->Close();
          return;
        }
        self->mBusy = false;
        self->TakeNext();
      });
  }

  void WriteLater(std::string aBytes, std::chrono::milliseconds aDelay)
  {
    auto timer = std::make_shared<asio::steady_timer>(mSocket.get_executor(), aDelay);
    timer->async_wait(
      [self = shared_from_this(), timer, bytes = std::move(aBytes)](const asio::error_code&) {
        asio::error_code ec;
        asio::write(self->mSocket, asio::buffer(bytes), ec);
      });
  }

  void Reset()
  {
    asio::error_code ec;
    mSocket.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  void Close()
  {
    asio::error_code ec;
    mSocket.close(ec);
    if (*mServerAlive) {
      mServer.mConnections.erase(shared_from_this());
    }
  }

private:
  void TakeNext();

  RawServer& mServer;
  std::shared_ptr<bool> mServerAlive;
  Tcp::socket mSocket;
  http::MessageReader mReader;
  std::array<char, 16384> mBuffer{};
  /// A request has not been answered yet.
  bool mBusy = false;
};

class RawServer::RawExchange : public http::Exchange
{
public:
  RawExchange(std::weak_ptr<Connection> aConnection, http::Request aRequest)
    : mConnection(std::move(aConnection))
    , mRequest(std::move(aRequest))
  {
  }

  http::Request& Received() override { return mRequest; }
  void Respond(http::Response aResponse) override
  {
    const bool ends = !aResponse.keepAlive || !mRequest.keepAlive;
    Write(Serialize(aResponse, mRequest.method == "HEAD"), ends);
  }
  std::size_t AnswersBehind() const override { return 0; }
  void SetAbandoned(Abandoned) override {}

  void Write(std::string aBytes, bool aEnds)
  {
    if (const auto connection = mConnection.lock()) {
      mConnection.reset();
      connection->Write(std::move(aBytes), aEnds);
    }
  }

  void WriteLater(std::string aBytes, std::chrono::milliseconds aDelay)
  {
    if (const auto connection = mConnection.lock()) {
      connection->WriteLater(std::move(aBytes), aDelay);
    }
  }

  void Reset()
  {
    if (const auto connection = mConnection.lock()) {
      mConnection.reset();
      connection->Reset();
    }
  }

private:
  std::weak_ptr<Connection> mConnection;
  http::Request mRequest;
};

void RawServer::Connection::TakeNext()
{
  if (mBusy || !*mServerAlive || !mSocket.is_open()) {
    return;
  }
  const http::ReadState state = mReader.Advance();
  if (state == http::ReadState::kComplete) {
    mBusy = true;
    mServer.mHandler.OnRequest(
      std::make_shared<RawExchange>(weak_from_this(), mReader.TakeRequest()));
  } else if (state != http::ReadState::kNeedsMore) {
    Close();
  }
}

RawServer::RawServer(asio::io_context& aContext,
                     const Tcp::endpoint& aEndpoint,
                     http::Handler& aHandler)
  : mAcceptor(aContext, aEndpoint)
  , mHandler(aHandler)
{
  Accept();
}

RawServer::~RawServer()
{
  Stop();
  *mAlive = false;
}

void RawServer::Write(http::Exchange& aExchange, std::string aBytes, bool aEnds)
{
  dynamic_cast<RawExchange&>(aExchange).Write(std::move(aBytes), aEnds);
}

void RawServer::Reset(http::Exchange& aExchange)
{
  dynamic_cast<RawExchange&>(aExchange).Reset();
}

void RawServer::WriteLater(http::Exchange& aExchange,
                           std::string aBytes,
                           std::chrono::milliseconds aDelay)
{
  dynamic_cast<RawExchange&>(aExchange).WriteLater(std::move(aBytes), aDelay);
}

std::string RawServer::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

void RawServer::Stop()
{
  asio::error_code ec;
  mAcceptor.close(ec);
  const auto connections = mConnections;
  for (const auto& it : connections) {
    it->Close();
  }
}

void RawServer::Accept()
{
  mAcceptor.async_accept(
    [this, alive = mAlive](const asio::error_code& aError, Tcp::socket aSocket) {
      if (aError || !*alive) {
        return;
      }
      ++mAccepted;
      const auto it = std::make_shared<Connection>(*this, std::move(aSocket));
      mConnections.insert(it);
      if (mResetsNew) {
        it->Reset();
      } else {
        it->Read();
      }
      Accept();
    });
}

} // namespace hawthornlug::testing
